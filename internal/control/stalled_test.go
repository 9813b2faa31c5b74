package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/controller"
	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	longestPass     = 240 * time.Millisecond
	membersPerGroup = 4
)

// stallSystem is a leader with entries in three data centres and serving groups in fabric domains, whose members
// announce themselves.
type stallSystem struct {
	s          *Server
	board      *blackboard.Board
	start, now time.Time
	table      *evidence.Table
	interval   time.Duration
	// next is when each VM announces itself next; one that is lost has none.
	next map[string]time.Time
	sent uint64
	// isStill is set while all VMs stand still.
	isStill bool
}

// newStallSystem places a number of groups in each domain.
func newStallSystem(interval time.Duration, domains ...int) *stallSystem {
	x := &stallSystem{
		board: blackboard.New(), start: time.Unix(1000, 0), now: time.Unix(1000, 0), table: evidence.NewTable("self", 1),
		interval: interval, next: make(map[string]time.Time),
	}
	x.table.SetInterval(interval)
	x.s = NewServer(Options{Logger: log.NewNopLogger(), Evidence: x})
	for i := range 9 {
		id := fmt.Sprint("e-", i)
		x.board.Entries[id] = blackboard.Entry{ID: id, Address: id, DataCentre: fmt.Sprint("dc-", i%3)}
	}
	r := rand.New(rand.NewPCG(1, 1))
	for d, groups := range domains {
		for i := range groups {
			x.addGroup(d, groupIn(d, i), r)
		}
	}
	x.pass(3 * interval)
	return x
}

func (x *stallSystem) addGroup(domain int, id string, r *rand.Rand) {
	g := blackboard.Group{
		ID: id, Epoch: 1, State: blackboard.Serving, RequiresOpenHead: true,
		DataCentre: fmt.Sprint("dc-", domain), FabricDomain: fmt.Sprint("domain-", domain),
	}
	for m := range membersPerGroup {
		vm := memberOf(id, m)
		g.Members = append(g.Members, blackboard.GroupMember{VM: vm})
		x.next[vm] = x.now.Add(time.Duration(r.Int64N(int64(x.interval))))
	}
	x.board.Groups[id] = g
}

func groupIn(domain, i int) string { return fmt.Sprint("g-", domain, "-", i) }

func memberOf(group string, i int) string { return fmt.Sprint(group, "-m", i) }

// WithTable implements Evidence.
func (x *stallSystem) WithTable(f func(*evidence.Table)) { f(x.table) }

// pass lets time pass, in which VMs announce themselves.
func (x *stallSystem) pass(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(step) {
		x.table.Digest(x.now, evidence.Cursor{})
		for vm, at := range x.next {
			if x.isStill || at.After(x.now) {
				continue
			}
			x.next[vm] = at.Add(x.interval)
			x.announce(backend.KindEngine, vm)
		}
	}
}

func (x *stallSystem) announce(kind backend.Kind, id string) {
	x.sent++
	x.table.Record(x.now, "self", backend.Announcement{Kind: kind, ID: id, Incarnation: "a", Sequence: x.sent})
}

// lose makes a VM announce itself no more.
func (x *stallSystem) lose(vm string) { delete(x.next, vm) }

// report records the reports of a group by some entries.
func (x *stallSystem) report(group string, silent time.Duration, entries ...int) {
	for _, e := range entries {
		x.s.stalls.Record(x.now, fmt.Sprint("e-", e), fmt.Sprint("dc-", e%3), controller.GroupEpoch{Group: group, Epoch: 1}, silent)
	}
}

// reportAll records the reports of all groups by some entries.
func (x *stallSystem) reportAll(silent time.Duration, entries ...int) {
	for group := range x.board.Groups {
		x.report(group, silent, entries...)
	}
}

func (x *stallSystem) stalled() int { return len(x.s.stalledGroups(x.now, x.board)) }

func (x *stallSystem) isStalled(group string) bool {
	_, stalled := x.s.stalledGroups(x.now, x.board)[controller.GroupEpoch{Group: group, Epoch: 1}]
	return stalled
}

// Guards against a lost group that stays in service because one entry with a bad link reports many others.
func TestOneEntrysReportsHideNoStall(t *testing.T) {
	x := newStallSystem(400*time.Millisecond, 4, 4)
	for i := range 4 {
		x.report(groupIn(1, i), longestPass, 8)
	}
	x.pass(500 * time.Millisecond)
	x.report(groupIn(0, 0), longestPass, 0, 1, 2)
	assert.Assert(t, x.isStalled(groupIn(0, 0)), "three entries of three data centres report the group")
}

// Guards against a lost group that stays in service because others have been taken out of service just before.
func TestStallsOfBrokenGroupsHideNoStall(t *testing.T) {
	x := newStallSystem(400*time.Millisecond, 5)
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
	for _, interval := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond} {
		x := newStallSystem(interval, 2, 2)
		for i := range 2 {
			for m := range membersPerGroup {
				x.lose(memberOf(groupIn(0, i), m))
			}
		}
		lost, found := x.now, false
		for _, silent := range []time.Duration{longestPass, time.Second, 2 * time.Second} {
			x.pass(lost.Add(silent).Sub(x.now))
			for i := range 2 {
				x.report(groupIn(0, i), silent, 0, 1, 2, 3, 4, 5)
			}
			found = found || x.isStalled(groupIn(0, 0))
		}
		assert.Check(t, found, "announcements each %s: the groups are reported at 0.24, 1 and 2 s by six entries, and never count as stalled", interval)
	}
}

// Guards against groups that are all broken within a moment because all backend servers stand still.
func TestStandstillOfAllBackendServersBreaksNoGroup(t *testing.T) {
	for _, interval := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
		for _, domains := range [][]int{{4, 4}, {2, 1}, {1}} {
			for _, limit := range []time.Duration{60 * time.Millisecond, longestPass, 500 * time.Millisecond} {
				x := newStallSystem(interval, domains...)
				x.isStill = true
				stopped := x.now
				for _, silent := range []time.Duration{limit, time.Second, 2 * time.Second} {
					x.pass(stopped.Add(silent).Sub(x.now))
					x.announce(backend.KindService, "plain")
					x.reportAll(silent, 0, 1, 2, 3, 4, 5)
					assert.Check(t, x.stalled() == 0, "%v groups, limit %s, after %s", domains, limit, silent)
					x.pass(700 * time.Millisecond)
					assert.Check(t, x.stalled() == 0, "%v groups, limit %s, %s and a late look", domains, limit, silent)
				}
			}
		}
	}
}

// Guards against groups that are broken for reports of a standstill that is over, some of which arrive late.
func TestReportsOfAStandstillHaveNoEffectAfterIt(t *testing.T) {
	x := newStallSystem(300*time.Millisecond, 4, 4)
	x.isStill = true
	x.pass(time.Second)
	x.reportAll(time.Second, 0, 1, 2, 3, 4, 5)
	x.pass(100 * time.Millisecond)
	x.isStill = false
	x.pass(80 * time.Millisecond)
	x.reportAll(time.Second, 6, 7, 8)
	for range 150 {
		x.pass(20 * time.Millisecond)
		assert.Equal(t, x.stalled(), 0, "after %s", x.now.Sub(x.start))
	}
}

// Guards against groups that stay in service for seconds after most of them have lost a member at the same time.
func TestLossesInMostGroupsAtOnceAreNoStandstill(t *testing.T) {
	x := newStallSystem(1200*time.Millisecond, 8, 8)
	for group := range x.board.Groups {
		x.lose(memberOf(group, 3))
	}
	x.pass(longestPass)
	x.reportAll(longestPass, 0, 1, 2, 3)
	assert.Equal(t, x.stalled(), 16)
}

// Guards against a lost group that stays in service because all backend servers stood still right before.
func TestGroupThatStaysSilentAfterAStandstillIsBroken(t *testing.T) {
	x := newStallSystem(400*time.Millisecond, 4, 4)
	x.isStill = true
	x.pass(time.Second)
	x.reportAll(time.Second, 0, 1, 2)
	assert.Equal(t, x.stalled(), 0)
	x.isStill = false
	x.pass(time.Second)
	x.report(groupIn(0, 0), 2*time.Second, 0, 1, 2)
	assert.Assert(t, x.isStalled(groupIn(0, 0)))
	assert.Assert(t, !x.isStalled(groupIn(0, 1)))
}

// Guards against sound groups that are broken after a standstill because the reports of its last moment arrive late.
func TestLateReportsOfAStandstillBreakNoGroup(t *testing.T) {
	for _, domains := range [][]int{{4, 4}, {2, 1}, {1}} {
		x := newStallSystem(300*time.Millisecond, domains...)
		x.isStill = true
		x.pass(time.Second)
		x.isStill = false
		x.pass(200 * time.Millisecond)
		x.reportAll(time.Second, 0, 1, 2, 3, 4, 5)
		assert.Check(t, x.stalled() == 0, "%v groups", domains)
	}
}
