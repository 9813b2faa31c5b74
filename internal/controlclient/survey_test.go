package controlclient

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Guards against a decision by a minority. An entry starts without a leader. The first control
// process to reply was absent for hundreds of changes, and two of the three that the settings
// name lost their disks. None of them may decide alone which configuration is served. The two
// processes that only the cluster knows must be called too.
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
		{"the outdated process replies first", []lastKnown{at("a", 3), at("b", 400)}, 400, true},
		{"the newest process replies first", []lastKnown{at("a", 401), at("b", 3)}, 401, true},
		{"one process replies repeatedly", []lastKnown{at("a", 3), at("a", 3), at("a", 3)}, 0, false},
		{"processes that lost their disks don't count", []lastKnown{at("a", 0), at("b", 0), at("c", 400)}, 0, false},
		{"two of five are no majority", []lastKnown{named("a", 3), at("b", 400)}, 0, false},
		{"the other members complete a majority", []lastKnown{at("a", 0), at("b", 0), named("c", 3), named("d", 400), named("e", 399)}, 400, true},
		{"one process knows a leader", []lastKnown{at("a", 3), led}, 0, true},
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
