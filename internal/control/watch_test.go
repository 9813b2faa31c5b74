package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/raft"
	"github.com/citronstep/citronstep/internal/replica"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// immediateConsensus is a consensus replica that leads and applies each command immediately.
type immediateConsensus struct {
	machine *Machine
	voters  int
	// after, if not 0, is the number of voters after the next command.
	after int
}

func (a *immediateConsensus) Propose(_ context.Context, command []byte) ([]byte, error) {
	result := a.machine.Apply(1, command)
	if a.after > 0 {
		a.voters = a.after
	}
	return result, nil
}

func (a *immediateConsensus) ReadBarrier(context.Context) error        { return nil }
func (a *immediateConsensus) LeaseRemaining() time.Duration            { return time.Minute }
func (a *immediateConsensus) Found(context.Context) error              { return nil }
func (a *immediateConsensus) TransferLeadership(context.Context) error { return nil }

func (a *immediateConsensus) Status() replica.Status {
	s := replica.Status{Founded: true, Term: 1}
	for i := range a.voters {
		s.Members = append(s.Members, raft.Member{ID: raft.NodeID(i + 1), Address: fmt.Sprint("m", i)})
	}
	return s
}

func leadingServer(t *testing.T, minDisks, voters int) (*Server, *immediateConsensus) {
	t.Helper()
	m := NewMachine()
	c := &immediateConsensus{machine: m, voters: voters}
	s := NewServer(Options{Machine: m, Consensus: c, Logger: log.NewNopLogger(), EntryLease: time.Second, MinDisks: minDisks})
	var verdict blackboard.Verdict
	assert.NilError(t, s.commitBoard(context.Background(), &blackboard.Found{ClusterID: "c"}, &verdict))
	assert.NilError(t, s.commitBoard(context.Background(), &blackboard.PutEntry{Entry: blackboard.Entry{ID: "e"}}, &verdict))
	return s, c
}

func wholeConfiguration(version uint64) *blackboard.ReplaceConfiguration {
	return &blackboard.ReplaceConfiguration{
		Version:  version,
		Services: []blackboard.ServiceSpec{{Name: strings.Repeat("x", int(version%7)+1)}},
		Document: []byte(fmt.Sprint(version, strings.Repeat(" padding", 100))),
	}
}

// maxCatchUpBytes bounds the reply to an entry that was absent. At this size, 195 entries that
// return together all get their replies within a third of a second over a link of 170 Mbit/s.
const maxCatchUpBytes = 32 << 10

// Guards against entries that never catch up. All processes restart after hundreds of changes,
// and each entry asks for everything since its revision. The full list of commands would exceed
// the leader's link within the time of a watch. An entry must get one patch with the net
// effect, however far it is behind, or a snapshot if the changes are no longer kept.
func TestAnEntryFarBehindGetsOneCompactPatch(t *testing.T) {
	s, _ := leadingServer(t, 0, 1)
	for v := range uint64(300) {
		var outcome blackboard.ReplaceOutcome
		assert.NilError(t, s.commitBoard(context.Background(), wholeConfiguration(v+1), &outcome))
		assert.Assert(t, outcome.Replaced)
	}
	leader := s.o.Machine.Board()
	for _, behind := range []uint64{2, 300, leader.Revision} {
		have := leader.Revision - behind
		reply, err := s.answerWatch(&noderpc.WatchRequest{EntryId: "e", HaveRevision: have})
		assert.NilError(t, err)
		assert.Equal(t, len(reply.Commands), 1)
		assert.Equal(t, len(reply.Snapshot), 0)
		assert.Assert(t, len(reply.Commands[0]) < maxCatchUpBytes, "%d bytes", len(reply.Commands[0]))
		assert.DeepEqual(t, reply.ControlAddresses, []string{"m0"})
		if have == 0 {
			entry, err := blackboard.New().ApplyAll(reply.Commands)
			assert.NilError(t, err)
			assert.Equal(t, entry.Config.Version, uint64(300))
			assert.Equal(t, entry.Revision, reply.Revision)
			assert.Equal(t, len(entry.Config.Services), 1)
		}
	}

	s.o.Machine.recentChanges = nil
	reply, err := s.answerWatch(&noderpc.WatchRequest{EntryId: "e", HaveRevision: leader.Revision - 2})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Commands), 0)
	assert.Assert(t, len(reply.Snapshot) > 0 && len(reply.Snapshot) < maxCatchUpBytes, "%d bytes", len(reply.Snapshot))
	board, err := blackboard.Decode(reply.Snapshot)
	assert.NilError(t, err)
	assert.Equal(t, board.Config.Version, uint64(300))
	assert.Equal(t, board.Revision, reply.Revision)
}

// Guards against the loss of an acknowledged change. A new cluster has one voter, or a cluster
// loses voters during a commit, and then the loss of one disk would lose the change. It must
// not be acknowledged until a majority of the voters is at least the required number of disks.
func TestNoAcknowledgementOnTooFewDisks(t *testing.T) {
	for _, c := range []struct {
		name          string
		voters, after int
		want          string
	}{
		{"one voter", 1, 0, "no"},
		{"four voters", 4, 0, ""},
		{"five voters", 5, 0, ""},
		{"three voters", 3, 0, "no"},
		{"falls to three during the commit", 5, 3, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, consensus := leadingServer(t, 3, c.voters)
			consensus.after = c.after
			encoded, err := blackboard.Encode(wholeConfiguration(4))
			assert.NilError(t, err)
			_, err = s.proposeDurably(context.Background(), LogCommand(noderpc.Machine_MACHINE_BOARD, encoded))
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, "too few control VMs")
			board := s.o.Machine.Board()
			assert.Equal(t, board.Config.Version == 0, c.want == "no", "a change that is reported as not written must not be on the board")
		})
	}
}

// Guards against an empty board that counts as a configuration. A control process returns
// without its disk's content and has not caught up, and an entry that starts without a leader
// asks it. The process must report that it holds no configuration. Once it holds one, it must
// return it, whether it leads or not.
func TestLastKnownReturnsOnlyAnAppliedConfiguration(t *testing.T) {
	empty := NewServer(Options{Machine: NewMachine(), Consensus: &immediateConsensus{}, Logger: log.NewNopLogger()})
	reply, err := empty.LastKnown(context.Background(), &noderpc.LastKnownRequest{Board: true})
	assert.NilError(t, err)
	assert.Equal(t, reply.Revision, uint64(0))
	assert.Equal(t, len(reply.Snapshot), 0)

	s, _ := leadingServer(t, 0, 3)
	var outcome blackboard.ReplaceOutcome
	assert.NilError(t, s.commitBoard(context.Background(), wholeConfiguration(7), &outcome))
	s.o.Consensus = &follower{s.o.Consensus}
	_, err = s.leading()
	assert.ErrorContains(t, err, "does not lead")
	reply, err = s.LastKnown(context.Background(), &noderpc.LastKnownRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Snapshot), 0)
	reply, err = s.LastKnown(context.Background(), &noderpc.LastKnownRequest{Board: true})
	assert.NilError(t, err)
	board, err := blackboard.Decode(reply.Snapshot)
	assert.NilError(t, err)
	assert.Equal(t, board.Config.Version, uint64(7))
	assert.Equal(t, len(reply.ControlAddresses), 3)
}

// follower is a consensus replica that does not lead.
type follower struct{ Consensus }

func (follower) LeaseRemaining() time.Duration { return 0 }

// Guards against watches that end for changes that entries don't hold. A pool starts, and the
// row of each VM changes several times a second. A watch must be held through these changes,
// and end at once when a row that entries hold changes.
func TestOnlyChangesThatConcernEntriesEndAWatch(t *testing.T) {
	s, _ := leadingServer(t, 0, 1)
	m := s.o.Machine
	have := m.Board().Revision
	needsUpdate, changed := m.NeedsUpdate(have)
	assert.Assert(t, !needsUpdate)
	var verdict blackboard.Verdict
	assert.NilError(t, s.commitBoard(context.Background(), &blackboard.PutVM{VM: blackboard.VM{ID: "v", Incarnation: "a"}}, &verdict))
	assert.Assert(t, m.Board().Revision > have)
	needsUpdate, _ = m.NeedsUpdate(have)
	assert.Assert(t, !needsUpdate)
	select {
	case <-changed:
		t.Fatal("the watch ended for the row of a VM")
	default:
	}
	assert.NilError(t, s.commitBoard(context.Background(), &blackboard.RecordFirstRequest{NowMillis: 7}, &verdict))
	needsUpdate, _ = m.NeedsUpdate(have)
	assert.Assert(t, needsUpdate)
	<-changed
}

// Guards against the times of crashes that are compared by the clocks of the entries that report them.
func TestCommittedCrashHasTheTimeOfTheLeader(t *testing.T) {
	s, _ := leadingServer(t, 0, 1)
	encoded, err := blackboard.Encode(&blackboard.ReportCrash{
		Fingerprints: []string{"f"}, Incarnation: "i", EndAgoMillis: 1000, SentAgoMillis: []int64{3000},
	})
	assert.NilError(t, err)
	_, err = s.Commit(t.Context(), &noderpc.CommitRequest{ClusterId: "c", Machine: noderpc.Machine_MACHINE_BOARD, Command: encoded})
	assert.NilError(t, err)
	run := s.o.Machine.Board().Suspects["f"].Runs[0]
	assert.Equal(t, run.EndMillis-run.SentMillis, int64(2000))
	assert.Assert(t, time.Since(time.UnixMilli(run.EndMillis)) >= time.Second)
	assert.Assert(t, time.Since(time.UnixMilli(run.EndMillis)) < time.Minute)
}
