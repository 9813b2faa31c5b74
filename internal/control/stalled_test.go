package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/controller"
	"github.com/citronstep/citronstep/internal/evidence"
)

// stallSystem is a leader with entries in three data centres and serving groups in fabric domains.
type stallSystem struct {
	s     *Server
	board *blackboard.Board
	now   time.Time
	table *evidence.Table
	// announcements counts the announcements so far; areStopped ends them.
	announcements int
	areStopped    bool
}

// WithTable implements Evidence.
func (x *stallSystem) WithTable(f func(*evidence.Table)) { f(x.table) }

// pass lets time pass, in which backend servers announce themselves.
func (x *stallSystem) pass(d time.Duration) {
	const interval = 20 * time.Millisecond
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(interval) {
		if !x.areStopped {
			x.announcements++
			x.table.Record(x.now, "self", backend.Announcement{Kind: backend.KindEngine, ID: "e", Incarnation: "a", Sequence: uint64(x.announcements)})
		}
	}
}

// newStallSystem places a number of groups in each domain.
func newStallSystem(domains ...int) *stallSystem {
	x := &stallSystem{board: blackboard.New(), now: time.Unix(1000, 0), table: evidence.NewTable("self", 1)}
	x.s = NewServer(Options{Logger: log.NewNopLogger(), Evidence: x})
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
	x.pass(controller.StallComparisonTime)
	_, stalled := x.s.stalledGroups(x.now, x.board)[controller.GroupEpoch{Group: group, Epoch: 1}]
	return stalled
}

const longestPass = 240 * time.Millisecond

// Guards against a lost group that stays in service because one entry with a bad link reports many others.
func TestOneEntrysReportsHideNoStall(t *testing.T) {
	x := newStallSystem(4, 4)
	for i := range 4 {
		x.report(groupIn(1, i), longestPass, 8)
	}
	x.pass(500 * time.Millisecond)
	x.report(groupIn(0, 0), longestPass, 0, 1, 2)
	assert.Assert(t, x.isStalled(groupIn(0, 0)), "three entries of three data centres report the group")
}

// Guards against a lost group that stays in service because others have been taken out of service just before.
func TestStallsOfBrokenGroupsHideNoStall(t *testing.T) {
	x := newStallSystem(5)
	x.report(groupIn(0, 0), longestPass, 0, 1, 2)
	assert.Assert(t, x.isStalled(groupIn(0, 0)))
	broken := x.board.Groups[groupIn(0, 0)]
	broken.State = blackboard.Broken
	x.board.Groups[groupIn(0, 0)] = broken
	x.pass(40 * time.Millisecond)
	x.report(groupIn(0, 1), longestPass, 0, 1, 2)
	assert.Assert(t, x.isStalled(groupIn(0, 1)), "one of four serving groups is reported")
}

// Guards against groups that stay in service after their fabric domain is lost, as it holds half of them.
func TestLossOfOneOfTwoDomainsIsNoCommonStall(t *testing.T) {
	x := newStallSystem(2, 2)
	for _, silent := range []time.Duration{longestPass, time.Second, 2 * time.Second} {
		x.pass(time.Unix(1000, 0).Add(silent).Sub(x.now))
		for i := range 2 {
			x.report(groupIn(0, i), silent, 0, 1, 2, 3, 4, 5)
		}
		if x.isStalled(groupIn(0, 0)) {
			return
		}
	}
	t.Error("the groups of the lost domain are reported at 0.24, 1 and 2 s by six entries, and never count as stalled")
}

// reportAll reports all groups of two domains of four by some entries.
func (x *stallSystem) reportAll(silent time.Duration, entries ...int) {
	for d := range 2 {
		for i := range 4 {
			x.report(groupIn(d, i), silent, entries...)
		}
	}
}

// Guards against groups that are all broken within a moment because all backend servers stand still.
func TestStandstillOfAllBackendServersBreaksNoGroup(t *testing.T) {
	x := newStallSystem(4, 4)
	x.pass(10 * time.Second)
	x.areStopped = true
	stopped := x.now
	for step := range 150 {
		silent := x.now.Sub(stopped)
		if step >= 15 && step < 24 {
			x.report(groupIn(step%2, step/2%4), silent, 0, 1, 2)
		}
		if entry := step - 50; entry >= 0 && entry < 9 {
			x.reportAll(silent, entry)
		}
		if entry := step - 100; entry >= 0 && entry < 9 {
			x.reportAll(silent, entry)
		}
		assert.Equal(t, len(x.s.stalledGroups(x.now, x.board)), 0, "after %s", silent)
		x.pass(20 * time.Millisecond)
	}
}

// Guards against groups that stay in service for seconds after most of them have lost a member at the same time.
func TestLossesInMostGroupsAtOnceAreNoStandstill(t *testing.T) {
	x := newStallSystem(4, 4)
	x.pass(10 * time.Second)
	x.reportAll(240*time.Millisecond, 0, 1, 2, 3)
	assert.Assert(t, x.isStalled(groupIn(0, 0)))
	assert.Assert(t, x.isStalled(groupIn(1, 3)))
}

// Guards against a lost group that stays in service because all backend servers stood still right before.
func TestGroupThatStaysSilentAfterAStandstillIsBroken(t *testing.T) {
	x := newStallSystem(4, 4)
	x.pass(10 * time.Second)
	x.areStopped = true
	x.pass(time.Second)
	x.reportAll(time.Second, 0, 1, 2)
	assert.Assert(t, !x.isStalled(groupIn(0, 0)))
	x.areStopped = false
	x.pass(800 * time.Millisecond)
	x.report(groupIn(0, 0), 2*time.Second, 0, 1, 2)
	assert.Assert(t, x.isStalled(groupIn(0, 0)))
	assert.Assert(t, !x.isStalled(groupIn(0, 1)))
}
