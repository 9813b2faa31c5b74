package follow

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// leader serves watches from a list of commands. It can also reply from an earlier state, as a
// leader does that was cut off long ago.
type leader struct {
	commands    [][]byte
	have        int
	snapshot    bool
	delay       time.Duration
	askedConfig uint64
	// leaderless makes the leader refuse watches.
	leaderless bool
	// lastKnown counts the calls of LastKnown.
	lastKnown int
}

func (l *leader) LastKnown(context.Context) (*noderpc.LastKnownReply, error) {
	l.lastKnown++
	if !l.leaderless {
		return &noderpc.LastKnownReply{LeaderAddress: "leader"}, nil
	}
	b := blackboard.New()
	for _, c := range l.commands[:l.have] {
		b, _, _ = b.Apply(c)
	}
	snapshot, err := b.Encode()
	return &noderpc.LastKnownReply{Snapshot: snapshot, Revision: b.Revision, ControlAddresses: []string{"a"}}, err
}

func (l *leader) Watch(_ context.Context, r *noderpc.WatchRequest) (*noderpc.WatchReply, error) {
	l.askedConfig = r.HaveConfig
	if l.leaderless {
		return nil, failure.New(failure.TypeNotLeader, "this control process does not lead")
	}
	time.Sleep(l.delay)
	reply := &noderpc.WatchReply{LeaseMs: 1000}
	if !l.snapshot && r.HaveRevision <= uint64(l.have) {
		reply.Commands = l.commands[r.HaveRevision:l.have]
		return reply, nil
	}
	b := blackboard.New()
	for _, c := range l.commands[:l.have] {
		b, _, _ = b.Apply(c)
	}
	reply.Snapshot, _ = b.Encode()
	return reply, nil
}

func commands(t *testing.T) [][]byte {
	change := func(id string, expect uint64) blackboard.ConfigChange {
		return blackboard.ConfigChange{
			ChangeID: id, Expect: expect, Presets: []blackboard.Preset{{Name: id}}, UsePreset: id,
		}
	}
	second, third := change("second", 1), change("third", 2)
	var list [][]byte
	for _, c := range []blackboard.Command{
		&blackboard.Found{ClusterID: "c", Initial: change("first", 0)}, &second, &third,
	} {
		data, err := blackboard.Encode(c)
		assert.NilError(t, err)
		list = append(list, data)
	}
	return list
}

func newFollower(l *leader) *Follower {
	return New(Options{Watcher: l, Entry: blackboard.Entry{ID: "e"}, Logger: log.NewNopLogger()})
}

func TestFollowsByCommandsAndBySnapshots(t *testing.T) {
	l := &leader{commands: commands(t), have: 1}
	f := newFollower(l)
	assert.Equal(t, f.LeaseRemaining(), time.Duration(0))
	assert.NilError(t, f.watchOnce(context.Background()))
	assert.Equal(t, f.Board().Config.ActivePreset, "first")
	assert.Assert(t, f.LeaseRemaining() > 0)
	l.have, l.snapshot = 3, true
	assert.NilError(t, f.watchOnce(context.Background()))
	assert.Equal(t, f.Board().Config.ActivePreset, "third")
	assert.NilError(t, f.watchOnce(context.Background()))
	assert.Equal(t, l.askedConfig, uint64(3))
}

// Guards against a leader that was cut off. A control VM is isolated for an hour and then acts
// as if it led. An entry that applied its board would revert to a preset that operators
// replaced long ago.
func TestNeverRevertsToAnEarlierConfiguration(t *testing.T) {
	l := &leader{commands: commands(t), have: 3}
	f := newFollower(l)
	assert.NilError(t, f.watchOnce(context.Background()))
	l.have, l.snapshot = 1, true
	assert.ErrorIs(t, f.watchOnce(context.Background()), ErrOlderBoard)
	assert.Equal(t, f.Board().Config.ActivePreset, "third")
}

// Guards against a lease that lasts too long. The leader's reply is delayed. A lease counted
// from its arrival would outlive the lease that the leader records, and the entry would serve
// under a configuration that was reported as replaced.
func TestTheLeaseIsCountedFromWhenTheWatchIsSent(t *testing.T) {
	l := &leader{commands: commands(t), have: 1, delay: 300 * time.Millisecond}
	f := newFollower(l)
	assert.NilError(t, f.watchOnce(context.Background()))
	assert.Assert(t, f.LeaseRemaining() <= 700*time.Millisecond)
}

// runUntil runs a follower until done returns true after a change.
func runUntil(t *testing.T, f *Follower, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.o.OnChange = func(*blackboard.Board) {
		if done() {
			cancel()
		}
	}
	f.Run(ctx)
}

// Guards against refused requests after a power loss. The entries restart at once, while the
// control processes may have no leader for some time. The entry must start with the last known
// board, without a lease, and follow the leader once there is one.
func TestAnEntryStartsWithoutALeader(t *testing.T) {
	l := &leader{commands: commands(t), have: 2, leaderless: true}
	f := newFollower(l)
	f.o.StartWithoutLease = true
	runUntil(t, f, func() bool { return true })
	assert.Equal(t, f.Board().Config.ActivePreset, "second")
	assert.Equal(t, f.LeaseRemaining(), time.Duration(0))
	l.have, l.leaderless = 3, false
	runUntil(t, f, func() bool { return f.Board().Config.ActivePreset == "third" })
	assert.Assert(t, f.LeaseRemaining() > 0)
	assert.Equal(t, l.lastKnown, 1)
}

// Guards against an entry that restarts with another process's board while there is a leader.
// It must start with the leader's board and a lease.
func TestAnEntryStartsFromTheLeaderIfThereIsOne(t *testing.T) {
	l := &leader{commands: commands(t), have: 3}
	f := newFollower(l)
	f.o.StartWithoutLease = true
	runUntil(t, f, func() bool { return true })
	assert.Equal(t, l.lastKnown, 1)
	assert.Equal(t, f.Board().Config.ActivePreset, "third")
	assert.Assert(t, f.LeaseRemaining() > 0)
}

// Guards against an entry that takes an evacuation for newer than it is: after a restart, after
// time without contact, or when the order was withdrawn and given again.
func TestEvacuationStartIsNeverLaterThanTheOrder(t *testing.T) {
	ordered := func(revision uint64) *blackboard.Board {
		b := *blackboard.New()
		b.Revision = revision
		b.Evacuations = map[string]blackboard.Evacuation{"dc": {Revision: revision}}
		return &b
	}
	f := New(Options{})
	f.publish(ordered(1), 500, time.Second)
	assert.Equal(t, f.EvacuationStart("dc"), clock.Boot(0), "the first board: the order may be old")

	f = New(Options{})
	f.publish(blackboard.New(), 100, time.Second)
	f.publish(blackboard.New(), 200, 0)
	f.publish(ordered(1), 900, time.Second)
	assert.Equal(t, f.EvacuationStart("dc"), clock.Boot(100), "the last board that the leader confirmed")
	f.publish(ordered(1), 1000, time.Second)
	assert.Equal(t, f.EvacuationStart("dc"), clock.Boot(100))

	f.publish(ordered(3), 1200, time.Second)
	assert.Equal(t, f.EvacuationStart("dc"), clock.Boot(1000), "withdrawn and ordered again")
	f.publish(blackboard.New(), 1300, time.Second)
	assert.Equal(t, f.EvacuationStart("dc"), clock.Boot(0))
}

// Guards against an entry that takes the board of another cluster, and so ends what runs under its own.
func TestBoardOfAnotherClusterIsRefused(t *testing.T) {
	l := &leader{commands: commands(t), have: 3}
	f := newFollower(l)
	assert.NilError(t, f.watchOnce(context.Background()))
	board := f.Board()
	other, err := blackboard.Encode(&blackboard.Found{ClusterID: "other", Initial: blackboard.ConfigChange{
		ChangeID: "first", Presets: []blackboard.Preset{{Name: "other"}}, UsePreset: "other",
	}})
	assert.NilError(t, err)
	l.commands, l.snapshot = append([][]byte{other}, l.commands[1:]...), true
	assert.ErrorIs(t, f.watchOnce(context.Background()), ErrOlderBoard)
	assert.Assert(t, f.Board() == board)
}
