package replica

import (
	"context"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/raft"
)

// Propose replicates a command. It returns the result of the state machine once a majority has
// synced the command and this node has applied it.
//
// NotLeaderError, ErrNotProposed, ErrNotFounded, ErrRemoved and ErrClosed mean that the command
// never takes effect. ErrOutcomeUnknown means that it may.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) == 0 || len(command) > maxCommandBytes {
		return nil, errors.Trace(ErrInvalidCommand)
	}
	if err := n.checkUsable(); err != nil {
		return nil, errors.Trace(err)
	}
	p := newProposal(command)
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, errors.Trace(ErrNotProposed)
	case <-n.stop:
		return nil, errors.Trace(ErrClosed)
	case <-n.failed:
		return nil, errors.Trace(ErrClosed)
	}
	return n.await(ctx, p)
}

func (n *Node) await(ctx context.Context, p *proposal) ([]byte, error) {
	var cause error
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		cause = ErrNotProposed
	case <-n.stop:
		cause = ErrClosed
	case <-n.failed:
		cause = ErrClosed
	}
	if p.claimed.CompareAndSwap(false, true) {
		return nil, errors.Trace(cause)
	}
	return n.lateOutcome(p)
}

// lateOutcome returns an outcome that arrived at the same time as the end of the wait, or
// ErrOutcomeUnknown.
func (n *Node) lateOutcome(p *proposal) ([]byte, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, errors.Trace(ErrOutcomeUnknown)
	}
}

// checkUsable returns an error early for calls that can't succeed on this node.
func (n *Node) checkUsable() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.err != nil:
		return ErrClosed
	case n.identity.Removed:
		return ErrRemoved
	case n.identity.Cluster == 0:
		return ErrNotFounded
	}
	return nil
}

// propose runs on the node's goroutine.
func (n *Node) propose(p *proposal) {
	if !p.claimed.CompareAndSwap(false, true) {
		return // its caller has stopped waiting
	}
	at, err := n.core.Propose(p.data)
	n.trackProposal(p, at, err)
}

// trackProposal registers a proposal under its log index, or returns the error of a proposal
// that was not appended.
func (n *Node) trackProposal(p *proposal, at raft.Position, err error) {
	switch {
	case errors.Is(err, raft.ErrBusy):
		p.done <- outcome{err: errors.Annotate(ErrNotProposed, err.Error())}
		return
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrTransferring):
		p.done <- outcome{err: n.notLeader()}
		return
	case err != nil:
		p.done <- outcome{err: errors.Trace(err)}
		return
	}
	p.term = at.Term
	if old := n.waiters[at.Index]; old != nil {
		// This node led before, lost the end of its log and leads again. Another entry of this
		// node now has the old command's index.
		old.done <- outcome{err: errors.Trace(ErrOutcomeUnknown)}
	}
	n.waiters[at.Index] = p
}

// ReadBarrier returns once this node's state machine has applied every command for which a
// Propose returned before the call. It succeeds only on the leader.
func (n *Node) ReadBarrier(ctx context.Context) error {
	if err := n.checkUsable(); err != nil {
		return errors.Trace(err)
	}
	if n.readByLease() {
		return nil
	}
	p := newProposal(nil)
	err := n.do(ctx, func() { n.queueRead(p) })
	if err != nil {
		return errors.Trace(err)
	}
	select {
	case o := <-p.done:
		return o.err
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-n.stop:
	case <-n.failed:
	}
	return errors.Trace(ErrClosed)
}

// readByLease reports whether the lease proves that the state machine is up to date. The lease
// is compared with the clock last, after every step that may block. A leader that was frozen
// before the comparison sees that its lease has expired. A freeze after the comparison only
// delays the caller; the state is still as new as the moment of the comparison.
func (n *Node) readByLease() bool {
	n.mu.Lock()
	v := n.view
	n.mu.Unlock()
	applied := v.status.OwnTermCommitted && v.status.Applied >= v.status.Commit
	return applied && n.opts.Now() < v.leaseExpiry
}

func (n *Node) queueRead(p *proposal) {
	if n.core.Status().Role != raft.RoleLeader {
		p.done <- outcome{err: n.notLeader()}
		return
	}
	n.waitingReads = append(n.waitingReads, p)
}

// requestReads requests a read index for each waiting read, once the leader has committed an
// entry of its own term.
func (n *Node) requestReads() {
	for len(n.waitingReads) > 0 {
		p := n.waitingReads[0]
		id := n.nextRead + 1
		err := n.core.ReadIndex(n.opts.Now(), id)
		if errors.Is(err, raft.ErrNotReady) {
			return
		}
		n.waitingReads = n.waitingReads[1:]
		if err != nil {
			p.done <- outcome{err: n.notLeader()}
			continue
		}
		n.nextRead = id
		n.reads[id] = p
	}
}

// TransferLeadership transfers the leadership to another voter, for a graceful stop. It returns
// once this node no longer leads, and at once if this node does not lead.
func (n *Node) TransferLeadership(ctx context.Context) error {
	for {
		changed := n.Changed()
		var role raft.Role
		var err error
		doErr := n.do(ctx, func() {
			role = n.core.Status().Role
			if role == raft.RoleLeader {
				err = n.core.TransferLeadership(n.opts.Now())
			}
		})
		if doErr != nil || err != nil {
			return errors.Trace(firstError(doErr, err))
		}
		if role != raft.RoleLeader {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-n.stop:
			return errors.Trace(ErrClosed)
		}
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
