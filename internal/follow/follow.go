// Package follow keeps an entry's copy of the blackboard, and the lease under which the entry
// may serve with the configuration in that copy.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/invariant"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Watcher gets changes from the leader, and the last known state from all control processes.
type Watcher interface {
	Watch(ctx context.Context, r *noderpc.WatchRequest) (*noderpc.WatchReply, error)
	LastKnown(ctx context.Context) (*noderpc.LastKnownReply, error)
}

// Options configure a Follower.
type Options struct {
	Watcher Watcher
	Entry   blackboard.Entry
	Logger  log.Logger
	// OnChange is called with each new board, always from the same goroutine.
	OnChange func(*blackboard.Board)
	// OnControlAddresses is called with the peer addresses of the control replicas as a control
	// process reports them. It may be nil.
	OnControlAddresses func([]string)
	// StartWithoutLease lets an entry that holds no board start with the last known state of
	// the control processes while none of them leads.
	StartWithoutLease bool
}

// Follower holds the newest board that it has applied. It is safe for concurrent use.
type Follower struct {
	o Options

	mu         sync.Mutex
	board      *blackboard.Board
	leaseUntil clock.Boot
	// granted is the length of the last lease.
	granted time.Duration
	// confirmedAt is when the last watch was sent that the leader answered; 0 before that.
	confirmedAt clock.Boot
	evacuations evacuationStarts
	// entries is the number of entries that the control processes reported at the start; only
	// Run uses it.
	entries int
}

// New returns a follower that holds an empty board and no lease.
//
// It starts empty, never from a file. So an entry that restarts after hundreds of changes never
// serves under an old configuration: its first lease comes with the leader's newest board.
// Options.StartWithoutLease gives up some of this guarantee for an earlier start.
func New(o Options) *Follower {
	return &Follower{o: o, board: blackboard.New(), evacuations: make(evacuationStarts)}
}

// Parameters of the watch.
const (
	// watchWait is how long the leader may hold a watch while there is no change.
	watchWait = 500 * time.Millisecond
	// watchTimeout ends a watch on a dead connection. It is shorter than the lease, so that
	// another control process can be called before the lease expires.
	watchTimeout = 1200 * time.Millisecond
	// spreadMinEntries is the number of entries from which the control processes share the
	// watches.
	spreadMinEntries = 400
	// watchPause prevents a tight loop of refused watches.
	watchPause = 50 * time.Millisecond
)

// Board returns the newest board that this entry has applied.
func (f *Follower) Board() *blackboard.Board {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.board
}

// LeaseRemaining returns how much longer this entry may admit requests, or 0 if it may not.
//
// Failure: an entry is cut off and serves under a configuration that operators replaced long
// ago. The lease prevents that, because it is counted from before the watch was sent, by a
// clock that includes the time in which the process was frozen.
func (f *Follower) LeaseRemaining() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, f.leaseUntil.Sub(clock.Now()))
}

// LeaseLength returns the length of the leases that the leader grants, or 0 before the first.
func (f *Follower) LeaseLength() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.granted
}

// Run follows the leader until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.callOnce(ctx); err != nil {
			_ = level.Debug(f.o.Logger).Log("event", "watch_failed", "err", err)
			sleep(ctx, watchPause)
		}
	}
}

// callOnce makes one round of calls: a watch, or for an entry without a board the last known
// state and then a watch if there is a leader.
func (f *Follower) callOnce(ctx context.Context) error {
	if !f.o.StartWithoutLease || f.Board().Revision > 0 {
		return f.watchOnce(ctx)
	}
	led, err := f.startFromLastKnown(ctx)
	if err != nil || !led {
		return errors.Trace(err)
	}
	return f.watchOnce(ctx)
}

// startFromLastKnown gets the last known state of the control processes. It reports whether
// there is a leader to watch. If there is none, it publishes the newest board that a majority
// holds, without a lease.
//
// Load: all processes restart together after a power loss. The entries listen within 0.1 s. The
// control processes may elect no leader before the leases that they may have granted an earlier
// leader have expired, and connections hang to a VM that is still without power. All requests
// of that second would be refused, and the callers would all retry at once on top of the
// others. The board holds only committed changes, so the leader's board can only be equal or
// newer. The last change may be missing until the first watch.
func (f *Follower) startFromLastKnown(ctx context.Context) (led bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	reply, err := f.o.Watcher.LastKnown(ctx)
	if err != nil {
		return false, errors.Trace(err)
	}
	f.notifyControl(reply.ControlAddresses)
	f.entries = int(reply.Entries)
	if reply.LeaderAddress != "" {
		return true, nil
	}
	next, err := advance(f.Board(), &noderpc.WatchReply{Snapshot: reply.Snapshot, Commands: reply.Commands})
	if err != nil {
		return false, errors.Trace(err)
	}
	_ = level.Info(f.o.Logger).Log("event", "started_without_leader", "board", next.Revision,
		"configuration", next.Config.Revision, "reason", "no control process leads; this is what a majority last knew")
	f.publish(next, clock.Now(), 0)
	return false, nil
}

// notifyControl reports the addresses of the control processes to OnControlAddresses.
func (f *Follower) notifyControl(addresses []string) {
	if f.o.OnControlAddresses != nil {
		f.o.OnControlAddresses(addresses)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Follower) watchOnce(ctx context.Context) error {
	board := f.Board()
	sentAt := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	reply, err := f.o.Watcher.Watch(ctx, &noderpc.WatchRequest{
		ClusterId:    board.ClusterID,
		EntryId:      f.o.Entry.ID,
		Address:      f.o.Entry.Address,
		PeerAddress:  f.o.Entry.PeerAddress,
		DataCentre:   f.o.Entry.DataCentre,
		HaveRevision: board.Revision,
		HaveConfig:   board.Config.Revision,
		WaitMs:       watchWait.Milliseconds(),
		Spread:       max(len(board.Entries), f.entries) >= spreadMinEntries,
		Deaf:         f.o.Entry.Deaf,
	})
	if err != nil {
		return errors.Trace(err)
	}
	next, err := advance(board, reply)
	if err != nil {
		return errors.Trace(err)
	}
	f.notifyControl(reply.ControlAddresses)
	f.publish(next, sentAt, time.Duration(reply.LeaseMs)*time.Millisecond)
	return nil
}

// ErrOlderBoard is returned for a reply that would revert the entry to an earlier configuration.
const ErrOlderBoard = errors.ConstError("the leader's board is older than the one held here")

// advance returns the board that results from applying the reply.
func advance(board *blackboard.Board, reply *noderpc.WatchReply) (*blackboard.Board, error) {
	next := board
	var err error
	if len(reply.Snapshot) > 0 {
		if next, err = blackboard.Decode(reply.Snapshot); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if next, err = next.ApplyAll(reply.Commands); err != nil {
		return nil, errors.Trace(err)
	}
	forward := next.Config.Revision >= board.Config.Revision && next.Revision >= board.Revision
	same := board.ClusterID == "" || board.ClusterID == next.ClusterID
	if !invariant.Check(forward && same, "configuration_never_reverts",
		"have board %d config %d, got board %d config %d", board.Revision, board.Config.Revision, next.Revision, next.Config.Revision) {
		return nil, errors.Trace(ErrOlderBoard)
	}
	return next, nil
}

// publish stores the board and the lease that was granted with it in one step, so that no
// request is admitted under the new lease with an older board.
func (f *Follower) publish(next *blackboard.Board, sentAt clock.Boot, lease time.Duration) {
	until := sentAt.Add(lease)
	f.mu.Lock()
	f.granted = lease
	f.evacuations.update(next, f.confirmedAt)
	if lease > 0 {
		f.confirmedAt = sentAt
	}
	changed := next.Revision != f.board.Revision
	f.board = next
	if until > f.leaseUntil {
		f.leaseUntil = until
	}
	f.mu.Unlock()
	if changed && f.o.OnChange != nil {
		f.o.OnChange(next)
	}
}
