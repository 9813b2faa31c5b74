package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/raft"
	"github.com/citronstep/citronstep/internal/replica"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// followingConsensus is a consensus replica that follows a leader.
type followingConsensus struct {
	immediateConsensus
	leader string
}

func (f *followingConsensus) LeaseRemaining() time.Duration { return 0 }

func (f *followingConsensus) Status() replica.Status {
	s := f.immediateConsensus.Status()
	s.Leader = raft.Member{Address: f.leader}
	return s
}

// localRenewer renews leases through a leader in the same process.
type localRenewer struct {
	leader *Server
	calls  atomic.Int64
	fails  atomic.Bool
}

func (r *localRenewer) Renew(ctx context.Context, _ string, m *noderpc.RenewRequest) (*noderpc.RenewReply, error) {
	r.calls.Add(1)
	if r.fails.Load() {
		return nil, failure.New(failure.TypeUnavailable, "the leader is lost")
	}
	return r.leader.Renew(ctx, m)
}

// relayFixture is a leader and a follower that serves watches for it.
type relayFixture struct {
	leader, follower *Server
	renewer          *localRenewer
	ctx              context.Context
}

func newRelayFixture(t *testing.T) *relayFixture {
	t.Helper()
	leader, _ := leadingServer(t, 0, 1)
	w := &relayFixture{leader: leader, renewer: &localRenewer{leader: leader}}
	m := NewMachine()
	w.follower = NewServer(Options{
		Machine: m, Consensus: &followingConsensus{immediateConsensus: immediateConsensus{machine: m, voters: 3}, leader: "m0"},
		Logger: log.NewNopLogger(), EntryLease: time.Second, StepInterval: time.Minute, Renewer: w.renewer,
	})
	w.apply(t, &blackboard.Found{ClusterID: "c"})
	w.apply(t, &blackboard.PutEntry{Entry: blackboard.Entry{ID: "e"}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w.ctx = ctx
	go w.follower.renewLoop(ctx)
	return w
}

// apply applies a command on the follower.
func (w *relayFixture) apply(t *testing.T, c blackboard.Command) {
	t.Helper()
	encoded, err := blackboard.Encode(c)
	assert.NilError(t, err)
	w.follower.o.Machine.Apply(1, LogCommand(noderpc.Machine_MACHINE_BOARD, encoded))
}

// both applies a command on the leader and on the follower.
func (w *relayFixture) both(t *testing.T, c blackboard.Command) {
	t.Helper()
	var result any
	assert.NilError(t, w.leader.commitBoard(w.ctx, c, &result))
	w.apply(t, c)
}

func (w *relayFixture) watch(have uint64) (*noderpc.WatchReply, error) {
	return w.follower.Watch(w.ctx, &noderpc.WatchRequest{ClusterId: "c", EntryId: "e", HaveRevision: have, HaveConfig: 1, WaitMs: 50, Spread: true})
}

// Guards against a leader that has to serve the watches of all entries itself.
func TestAFollowerAnswersWatches(t *testing.T) {
	w := newRelayFixture(t)
	w.both(t, wholeConfiguration(1))
	reply, err := w.watch(2)
	assert.NilError(t, err)
	assert.Equal(t, reply.Term, uint64(1))
	assert.Equal(t, reply.LeaseMs, int64(1000))
	assert.Equal(t, reply.Revision, w.leader.o.Machine.Board().Revision)
	assert.Equal(t, len(reply.Commands), 1)
	w.leader.mu.Lock()
	defer w.leader.mu.Unlock()
	assert.Assert(t, w.leader.leases.remaining("e", clock.Now()) > 0)
	assert.Equal(t, w.leader.leases.holding("e").board, uint64(2))
}

// Guards against a new lease on a board that is older than one the leader has reported as in
// force.
func TestAFollowerGrantsNoLeaseOnAnOlderBoard(t *testing.T) {
	w := newRelayFixture(t)
	var outcome blackboard.ReplaceOutcome
	assert.NilError(t, w.leader.commitBoard(w.ctx, wholeConfiguration(1), &outcome))
	_, err := w.watch(2)
	assert.ErrorContains(t, err, "behind the leader")
	go func() {
		time.Sleep(100 * time.Millisecond)
		w.apply(t, wholeConfiguration(1))
	}()
	reply, err := w.watch(2)
	assert.NilError(t, err)
	assert.Equal(t, reply.Revision, w.leader.o.Machine.Board().Revision)
}

// Guards against entries that retry in a tight loop while there is no leader.
func TestWatchesAreHeldWhileThereIsNoLeader(t *testing.T) {
	w := newRelayFixture(t)
	w.renewer.fails.Store(true)
	time.AfterFunc(150*time.Millisecond, func() { w.renewer.fails.Store(false) })
	_, err := w.watch(2)
	assert.NilError(t, err)
}

// Guards against a follower that serves an entry which only the leader can register, or an
// entry whose board is newer than the follower's.
func TestAFollowerRefusesWatchesThatOnlyTheLeaderCanAnswer(t *testing.T) {
	w := newRelayFixture(t)
	_, err := w.follower.Watch(w.ctx, &noderpc.WatchRequest{ClusterId: "c", EntryId: "new", WaitMs: 50, Spread: true})
	assert.ErrorContains(t, err, "can't answer")
	_, err = w.watch(99)
	assert.ErrorContains(t, err, "can't answer")
}

// Guards against calls to the leader that grow with the number of entries.
func TestManyEntriesAreRenewedInFewMessages(t *testing.T) {
	const entries = 500
	w := newRelayFixture(t)
	for i := range entries {
		w.both(t, &blackboard.PutEntry{Entry: blackboard.Entry{ID: fmt.Sprint("e", i)}})
	}
	revision := w.leader.o.Machine.Board().Revision
	var failed atomic.Int64
	var all sync.WaitGroup
	for i := range entries {
		all.Go(func() {
			r := &noderpc.WatchRequest{ClusterId: "c", EntryId: fmt.Sprint("e", i), HaveRevision: revision, WaitMs: 50, Spread: true}
			if _, err := w.follower.Watch(w.ctx, r); err != nil {
				failed.Add(1)
			}
		})
	}
	all.Wait()
	assert.Equal(t, failed.Load(), int64(0))
	assert.Assert(t, w.renewer.calls.Load() < entries/20, "%d messages", w.renewer.calls.Load())
}
