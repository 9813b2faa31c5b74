package control

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/controlclient"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// maxWatchWait bounds how long a watch is held. An entry counts its lease from when it sent the
// watch, so a short hold renews the lease well before it expires.
const maxWatchWait = time.Second

// Watch serves an entry's long poll. The reply carries the changes since the entry's revision
// and a new lease on the resulting configuration.
func (s *Server) Watch(ctx context.Context, r *noderpc.WatchRequest) (*noderpc.WatchReply, error) {
	if _, err := s.leading(); err != nil {
		if r.Spread && s.o.Renewer != nil {
			return s.relayWatch(ctx, r)
		}
		return nil, rpcError(err)
	}
	if err := s.registerEntry(ctx, r); err != nil {
		return nil, rpcError(err)
	}
	s.acknowledge(r)
	if s.waitForChange(ctx, r) && r.HaveRevision > 0 {
		s.waitForSlot(ctx, r.EntryId, s.answeredEntries(r))
	}
	return s.answerWatch(r)
}

// answeredEntries returns how many entries this process serves, including the one of the watch.
func (s *Server) answeredEntries(r *noderpc.WatchRequest) int {
	entries := len(s.o.Machine.Board().Entries)
	if !r.Spread {
		return entries
	}
	return entries / max(1, len(s.o.Consensus.Status().Members))
}

// waitForSlot delays the reply until the entry's next slot. Callers skip it for an entry that
// has no board yet, because such an entry can't serve any request.
func (s *Server) waitForSlot(ctx context.Context, entry string, entries int) {
	timer := time.NewTimer(untilSlot(entry, entries, time.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// registerEntry registers an entry before its first lease, so that a later leader knows that
// the entry may hold one.
func (s *Server) registerEntry(ctx context.Context, r *noderpc.WatchRequest) error {
	board := s.o.Machine.Board()
	if r.ClusterId != "" && r.ClusterId != board.ClusterID {
		return errors.Trace(failure.New(failure.TypeConflict, "the entry follows another cluster"))
	}
	entry := entryOf(r)
	if board.Entries[r.EntryId] == entry {
		return nil
	}
	var verdict blackboard.Verdict
	if err := s.commitBoard(ctx, &blackboard.PutEntry{Entry: entry}, &verdict); err != nil {
		return errors.Trace(err)
	}
	s.event("entry", entry.ID, "entry registered at "+entry.Address)
	return nil
}

// entryOf returns the board's row for the entry that watches.
func entryOf(r *noderpc.WatchRequest) blackboard.Entry {
	return blackboard.Entry{
		ID: r.EntryId, Address: r.Address, PeerAddress: r.PeerAddress, DataCentre: r.DataCentre, Deaf: r.Deaf,
	}
}

func (s *Server) acknowledge(r *noderpc.WatchRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.acknowledge(r.EntryId, r.HaveConfig, r.HaveRevision)
}

// waitForChange waits until there is a change for the entry, and reports whether there is one.
func (s *Server) waitForChange(ctx context.Context, r *noderpc.WatchRequest) bool {
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	needsUpdate, changed := s.o.Machine.NeedsUpdate(r.HaveRevision)
	if needsUpdate {
		return true
	}
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// answerWatch grants a lease only while this process is certain to lead.
//
// Failure: a leader is frozen or cut off during the wait, and grants a lease on a configuration
// that a newer leader has replaced. The check of the leader's own lease prevents that. It comes
// after the wait and after the board was read, and uses a clock that counts time spent frozen.
// While the leader's lease runs, there is no newer leader and so no newer configuration.
func (s *Server) answerWatch(r *noderpc.WatchRequest) (*noderpc.WatchReply, error) {
	s.grantLease(r.EntryId)
	reply, err := s.replyTo(r, 0, s.o.EntryLease)
	if err != nil {
		return nil, err
	}
	term, err := s.leading()
	if err != nil {
		return nil, rpcError(err)
	}
	reply.Term = term
	return reply, nil
}

// replyTo returns the changes for an entry since its revision, with a lease.
func (s *Server) replyTo(r *noderpc.WatchRequest, term uint64, lease time.Duration) (*noderpc.WatchReply, error) {
	board, patch, ok, err := s.o.Machine.PatchSince(r.HaveRevision)
	if err != nil {
		return nil, rpcError(err)
	}
	if _, known := board.Entries[r.EntryId]; !known {
		return nil, rpcError(failure.New(failure.TypeUnavailable, "the entry is no longer registered; ask again").WithRan(failure.RanNo))
	}
	reply := &noderpc.WatchReply{}
	if patch != nil {
		reply.Commands = [][]byte{patch}
	}
	if !ok {
		snapshot, commands, current, err := s.o.Machine.EntrySnapshot()
		if err != nil {
			return nil, rpcError(err)
		}
		reply.Snapshot, reply.Commands, board = snapshot, commands, current
	}
	reply.ClusterId, reply.Revision = board.ClusterID, board.Revision
	reply.Term = term
	reply.ControlAddresses = s.controlAddresses()
	reply.LeaseMs = lease.Milliseconds()
	return reply, nil
}

// LastKnown returns the board that this process has applied, whether it leads or not, and the
// leader if one is known. An entry calls it when it starts. An applied board is committed, so
// the leader's board can only be equal or newer.
func (s *Server) LastKnown(_ context.Context, r *noderpc.LastKnownRequest) (*noderpc.LastKnownReply, error) {
	reply := &noderpc.LastKnownReply{
		ControlAddresses: s.controlAddresses(), LeaderAddress: s.o.Consensus.Status().Leader.Address,
	}
	board := s.o.Machine.Board()
	reply.Entries = int64(len(board.Entries))
	if board.Config.Revision > 0 {
		reply.Revision = board.Revision
	}
	if !r.Board || reply.Revision == 0 {
		return reply, nil
	}
	snapshot, commands, board, err := s.o.Machine.EntrySnapshot()
	if err != nil {
		return nil, rpcError(err)
	}
	reply.Snapshot, reply.Commands, reply.Revision = snapshot, commands, board.Revision
	return reply, nil
}

// controlAddresses returns the peer addresses of all control replicas.
func (s *Server) controlAddresses() []string {
	var addresses []string
	for _, m := range s.o.Consensus.Status().Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// grantLease records the lease before the board is read. If it were recorded afterwards, a
// change accepted in between would be reported as in force, while the reply renews the lease of
// an entry with the board before that change.
func (s *Server) grantLease(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.grant(entry, clock.Now())
}

// Commit commits an entry's command to the log.
func (s *Server) Commit(ctx context.Context, r *noderpc.CommitRequest) (*noderpc.CommitReply, error) {
	if _, err := s.leading(); err != nil {
		return nil, rpcError(err)
	}
	board := s.o.Machine.Board()
	if r.ClusterId != board.ClusterID {
		return nil, rpcError(failure.New(failure.TypeConflict, "the entry follows another cluster").WithRan(failure.RanNo))
	}
	command := r.Command
	if r.Machine == noderpc.Machine_MACHINE_BOARD {
		var err error
		if command, err = blackboard.SetTimes(command, s.steady.now()); err != nil {
			return nil, rpcError(failure.New(failure.TypeBadRequest, err.Error()).WithRan(failure.RanNo))
		}
	}
	result, err := s.proposeDurably(ctx, LogCommand(r.Machine, command))
	if err != nil {
		return nil, rpcError(err)
	}
	return &noderpc.CommitReply{Result: result}, nil
}

// rpcError converts a failure to a Twirp error, which carries the type of the failure.
func rpcError(err error) error {
	f := failure.From(err)
	code := twirp.Unavailable
	if f.Type == failure.TypeConflict {
		code = twirp.FailedPrecondition
	}
	e := twirp.NewError(code, f.Message).WithMeta(controlclient.MetaType, string(f.Type))
	if f.Type == failure.TypeNotLeader {
		e = e.WithMeta(controlclient.MetaLeader, f.Detail)
	}
	return e
}
