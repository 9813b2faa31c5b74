// Package follow keeps an entry's copy of the blackboard and the lease that
// lets the entry serve under the configuration in it.
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

// Watcher asks the leader what has changed, and all control processes what they
// last knew.
type Watcher interface {
	Watch(ctx context.Context, r *noderpc.WatchRequest) (*noderpc.WatchReply, error)
	LastKnown(ctx context.Context) (*noderpc.LastKnownReply, error)
}

// Options are what a Follower is made of.
type Options struct {
	Watcher Watcher
	Entry   blackboard.Entry
	Logger  log.Logger
	// OnChange is called, from one goroutine, with each new board.
	OnChange func(*blackboard.Board)
	// OnControl is called with the peer addresses of the control replicas as
	// the leader names them; nil if nobody needs them.
	OnControl func([]string)
	// StartWithoutLease lets an entry that holds no board begin with what the
	// control processes last knew, while none of them leads.
	StartWithoutLease bool
}

// Follower holds the newest board that it has applied. It is safe for
// concurrent use.
type Follower struct {
	o Options

	mu         sync.Mutex
	board      *blackboard.Board
	leaseUntil clock.Boot
	// granted is the length of the last lease.
	granted time.Duration
	// entries is how many entries the control processes named at the start; Run alone uses it.
	entries int
}

// New returns a follower that holds an empty board and no lease.
//
// It starts empty, never from a file, so that an entry that restarts after
// hundreds of changes serves nothing under an old configuration: its first
// lease comes with the leader's newest board. Options.StartWithoutLease trades
// some of that for an earlier start.
func New(o Options) *Follower {
	return &Follower{o: o, board: blackboard.New()}
}

// Times of the watch.
const (
	// watchWait is how long the leader may hold a watch with nothing new.
	watchWait = 500 * time.Millisecond
	// watchTimeout ends a watch on a connection that has gone silent. It is
	// shorter than the lease, so that another control process is sentAt
	// before the lease runs out.
	watchTimeout = 1200 * time.Millisecond
	// spreadMinEntries is from how many entries on the control processes share the watches.
	spreadMinEntries = 400
	// watchPause keeps a refused watch from spinning.
	watchPause = 50 * time.Millisecond
)

// Board returns the newest board applied here.
func (f *Follower) Board() *blackboard.Board {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.board
}

// Lease returns how long this entry may go on admitting, 0 when not at all.
//
// It guards against an entry that is cut off and serves under a configuration
// that operators have replaced long ago. The guard holds because the lease is
// counted from before the watch was sent, by a clock that counts the time in
// which the process was frozen.
func (f *Follower) Lease() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, f.leaseUntil.Sub(clock.Now()))
}

// Granted returns the length of the leases that the leader grants, 0 before
// the first.
func (f *Follower) Granted() time.Duration {
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

// next makes one call to the control processes.
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

// begin asks all control processes what they last knew. It tells whether there
// is a leader to watch; while there is none, it takes the newest board that a
// majority holds, without a lease.
//
// Load: all processes lose power and come back together. The entries listen
// within 0.1 s, while the control processes may elect nobody before the promises
// that they may have given an earlier leader have run out, and a VM that is
// still without power lets a connection hang. Harm: all callers of that second are
// refused, and come back at once on top of the others. The board holds what is
// committed, so the leader's only ever goes on from it; it may lack the last
// change until then.
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

// notifyControl passes on where the control processes are.
func (f *Follower) notifyControl(addresses []string) {
	if f.o.OnControl != nil {
		f.o.OnControl(addresses)
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

// ErrBackwards is returned for an answer that would take the entry back to an
// earlier configuration.
const ErrBackwards = errors.ConstError("the leader's board is older than the one held here")

// advance returns the board that the reply leads to.
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
		return nil, errors.Trace(ErrBackwards)
	}
	return next, nil
}

// take publishes the board before the lease that was granted with it, so that
// nothing is admitted under the lease with an older board.
func (f *Follower) publish(next *blackboard.Board, sentAt clock.Boot, lease time.Duration) {
	until := sentAt.Add(lease)
	f.mu.Lock()
	f.granted = lease
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
