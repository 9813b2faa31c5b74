package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/controller"
)

// stallSystem is a leader with entries in three data centres and serving groups in fabric domains.
type stallSystem struct {
	s     *Server
	board *blackboard.Board
	now   time.Time
}

// newStallSystem places a number of groups in each domain.
func newStallSystem(domains ...int) *stallSystem {
	x := &stallSystem{s: NewServer(Options{Logger: log.NewNopLogger()}), board: blackboard.New(), now: time.Unix(1000, 0)}
	for i := range 9 {
		id := fmt.Sprint("e-", i)
		x.board.Entries[id] = blackboard.Entry{ID: id, Address: id, DataCentre: fmt.Sprint("dc-", i%3)}
	}
	for d, groups := range domains {
		for i := range groups {
			id := groupIn(d, i)
			x.board.Groups[id] = blackboard.Group{
				ID: id, Epoch: 1, State: blackboard.Serving, RequiresOpenHead: true,
				DataCentre: fmt.Sprint("dc-", d), FabricDomain: fmt.Sprint("domain-", d),
			}
		}
	}
	return x
}

func groupIn(domain, i int) string { return fmt.Sprint("g-", domain, "-", i) }

// report records the reports of a group by some entries.
func (x *stallSystem) report(group string, silent time.Duration, entries ...int) {
	for _, e := range entries {
		x.s.stalls.Record(x.now, fmt.Sprint("e-", e), fmt.Sprint("dc-", e%3), controller.GroupEpoch{Group: group, Epoch: 1}, silent)
	}
}

// isStalled reports whether a group is to be broken, once its stall has been compared with those of others.
func (x *stallSystem) isStalled(group string) bool {
	x.s.stalledGroups(x.now, x.board)
	x.now = x.now.Add(controller.StallComparisonTime)
	_, stalled := x.s.stalledGroups(x.now, x.board)[controller.GroupEpoch{Group: group, Epoch: 1}]
	return stalled
}

const pass = 240 * time.Millisecond

// Guards against a lost group that stays in service because one entry with a bad link reports many others.
func TestOneEntrysReportsHideNoStall(t *testing.T) {
	x := newStallSystem(4, 4)
	for i := range 4 {
		x.report(groupIn(1, i), pass, 8)
	}
	x.now = x.now.Add(500 * time.Millisecond)
	x.report(groupIn(0, 0), pass, 0, 1, 2)
	assert.Assert(t, x.isStalled(groupIn(0, 0)), "three entries of three data centres report the group")
}

// Guards against a lost group that stays in service because others have been taken out of service just before.
func TestStallsOfBrokenGroupsHideNoStall(t *testing.T) {
	x := newStallSystem(5)
	x.report(groupIn(0, 0), pass, 0, 1, 2)
	assert.Assert(t, x.isStalled(groupIn(0, 0)))
	broken := x.board.Groups[groupIn(0, 0)]
	broken.State = blackboard.Broken
	x.board.Groups[groupIn(0, 0)] = broken
	x.now = x.now.Add(40 * time.Millisecond)
	x.report(groupIn(0, 1), pass, 0, 1, 2)
	assert.Assert(t, x.isStalled(groupIn(0, 1)), "one of four serving groups is reported")
}

// Guards against groups that stay in service after their fabric domain is lost, as it holds half of them.
func TestLossOfOneOfTwoDomainsIsNoCommonStall(t *testing.T) {
	x := newStallSystem(2, 2)
	for _, silent := range []time.Duration{pass, time.Second, 2 * time.Second} {
		x.now = time.Unix(1000, 0).Add(silent)
		for i := range 2 {
			x.report(groupIn(0, i), silent, 0, 1, 2, 3, 4, 5)
		}
		if x.isStalled(groupIn(0, 0)) {
			return
		}
	}
	t.Error("the groups of the lost domain are reported at 0.24, 1 and 2 s by six entries, and never count as stalled")
}

// Guards against groups that are all broken within a moment because all backend servers stand still.
func TestCommonStallBreaksNoGroup(t *testing.T) {
	x := newStallSystem(4, 4)
	all := func(silent time.Duration, entries ...int) {
		for d := range 2 {
			for i := range 4 {
				x.report(groupIn(d, i), silent, entries...)
			}
		}
	}
	check := func() {
		t.Helper()
		assert.Equal(t, len(x.s.stalledGroups(x.now, x.board)), 0, "at %s", x.now.Sub(time.Unix(1000, 0)))
	}
	for step := range 150 {
		x.now = time.Unix(1000, 0).Add(time.Duration(step) * 20 * time.Millisecond)
		silent := x.now.Sub(time.Unix(1000, 0))
		if step < 9 {
			x.report(groupIn(step%2, step/2%4), silent, 0, 1, 2)
		}
		if entry := step - 50; entry >= 0 && entry < 9 {
			all(silent, entry)
		}
		if entry := step - 100; entry >= 0 && entry < 9 {
			all(silent, entry)
		}
		check()
	}
}

// Guards against a lost group that stays in service because all groups stood still right before.
func TestGroupThatStaysSilentAfterACommonStallIsBroken(t *testing.T) {
	x := newStallSystem(4, 4)
	for d := range 2 {
		for i := range 4 {
			x.report(groupIn(d, i), time.Second, 0, 1, 2)
		}
	}
	assert.Assert(t, !x.isStalled(groupIn(0, 0)))
	x.now = time.Unix(1000, 0).Add(time.Second)
	x.report(groupIn(0, 0), 2*time.Second, 0, 1, 2)
	assert.Assert(t, x.isStalled(groupIn(0, 0)))
	assert.Assert(t, !x.isStalled(groupIn(0, 1)))
}
