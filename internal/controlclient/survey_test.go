package controlclient

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// An entry starts without a leader to ask. One control process has been away for
// hundreds of changes and is the first to answer, and the disks of two of the
// three that the settings name were lost. Neither may decide alone what is
// served under, and the two others that only the cluster knows of must be asked.
func TestLastKnownIsTheNewestBoardOfAMajority(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	at := func(address string, revision uint64) lastKnown {
		return lastKnown{address, &noderpc.LastKnownReply{Revision: revision}}
	}
	named := func(address string, revision uint64) lastKnown {
		return lastKnown{address, &noderpc.LastKnownReply{Revision: revision, ControlAddresses: members}}
	}
	led := lastKnown{"c", &noderpc.LastKnownReply{LeaderAddress: "l"}}
	for _, c := range []struct {
		name    string
		answers []lastKnown
		want    uint64
		done    bool
	}{
		{"the old one answers first", []lastKnown{at("a", 3), at("b", 400)}, 400, true},
		{"the newest answers first", []lastKnown{at("a", 401), at("b", 3)}, 401, true},
		{"one answers again and again", []lastKnown{at("a", 3), at("a", 3), at("a", 3)}, 0, false},
		{"lost disks hold nothing", []lastKnown{at("a", 0), at("b", 0), at("c", 400)}, 0, false},
		{"of five, two are no majority", []lastKnown{named("a", 3), at("b", 400)}, 0, false},
		{"the others of the cluster make one", []lastKnown{at("a", 0), at("b", 0), named("c", 3), named("d", 400), named("e", 399)}, 400, true},
		{"one knows a leader", []lastKnown{at("a", 3), led}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTally([]string{"a", "b", "c"})
			var best lastKnown
			done := false
			for _, a := range c.answers {
				assert.Assert(t, !done, "decided too early")
				p.setMembers(a.reply.ControlAddresses)
				best, done = p.add(a)
			}
			assert.Equal(t, done, c.done)
			if done {
				assert.Equal(t, best.reply.Revision, c.want)
			}
		})
	}
	p := newTally([]string{"a", "b", "c"})
	assert.DeepEqual(t, p.setMembers(members), []string{"d", "e"})
	assert.Equal(t, len(p.setMembers(members)), 0)
}
