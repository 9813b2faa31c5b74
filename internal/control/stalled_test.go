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

// groupsToBreak returns how many groups are to be broken now.
func (x *stallSystem) groupsToBreak() int { return len(x.s.stalledGroups(x.now, x.board)) }

// Guards against groups that are all broken in a standstill of all backend servers because the leader's next look is late.
func TestLateLookInAStandstillBreaksNoGroup(t *testing.T) {
	for _, late := range []time.Duration{200, 320, 400, 700} {
		t.Run(fmt.Sprint(int(late)), func(t *testing.T) {
			x := newStallSystem(4, 4)
			x.pass(10 * time.Second)
			x.areStopped = true
			x.pass(longestPass)
			x.reportAll(longestPass, 0, 1, 2)
			assert.Equal(t, x.groupsToBreak(), 0)
			x.pass(late * time.Millisecond)
			assert.Equal(t, x.groupsToBreak(), 0)
		})
	}
}

// Guards against a group that is broken in a standstill of all backend servers because its model's passes are the shortest.
func TestGroupWithTheShortestPassIsNotBrokenInAStandstill(t *testing.T) {
	x := newStallSystem(4, 4)
	x.pass(10 * time.Second)
	x.areStopped = true
	stopped := x.now
	for step := range 60 {
		silent := x.now.Sub(stopped)
		if step == 12 {
			x.report(groupIn(0, 0), silent, 0, 1, 2)
		}
		if step == 20 {
			x.reportAll(silent, 0, 1, 2)
		}
		assert.Equal(t, x.groupsToBreak(), 0, "after %s", silent)
		x.pass(20 * time.Millisecond)
	}
}

// Guards against a group that is broken in a standstill of all backend servers because no other one has streams.
func TestOnlyGroupWithStreamsIsNotBrokenInAStandstill(t *testing.T) {
	x := newStallSystem(4, 4)
	x.pass(10 * time.Second)
	x.areStopped = true
	x.pass(time.Second)
	x.report(groupIn(0, 0), time.Second, 0, 1, 2)
	assert.Assert(t, !x.isStalled(groupIn(0, 0)), "no backend server has announced itself for a second")
}

// Guards against groups of a small deployment that are all broken in a standstill because their leader has just been elected.
func TestStandstillAtANewLeaderBreaksNotAllOfThreeGroups(t *testing.T) {
	x := newStallSystem(1, 1, 1)
	x.areStopped = true
	x.pass(longestPass)
	for d := range 3 {
		x.report(groupIn(d, 0), longestPass, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	}
	x.groupsToBreak()
	x.pass(controller.StallComparisonTime)
	assert.Assert(t, x.groupsToBreak() < 3, "no group is left")
}

// Guards against lost groups that stay in service because all backend servers announce themselves at the same moments.
func TestLossIsNoStandstillBetweenAnnouncementsOfTheSameMoment(t *testing.T) {
	x := newStallSystem(4, 4)
	x.areStopped = true
	var lost bool
	for step := range 600 {
		if step%20 == 0 {
			x.announce(32)
		}
		if step == 518 {
			x.report(groupIn(0, 0), longestPass, 0, 1, 2)
			x.report(groupIn(0, 1), longestPass, 0, 1, 2)
		}
		lost = lost || x.groupsToBreak() == 2
		x.pass(20 * time.Millisecond)
	}
	assert.Assert(t, lost, "the groups are reported by three entries, and all servers announce themselves each 0.4 s")
}

// announce records one announcement of each of some servers now.
func (x *stallSystem) announce(servers int) {
	for i := range servers {
		x.announcements++
		x.table.Record(x.now, "self", backend.Announcement{Kind: backend.KindEngine, ID: fmt.Sprint("e-", i), Incarnation: "a", Sequence: uint64(x.announcements)})
	}
}

// Guards against lost groups that stay in service because backend servers have begun to announce themselves to other processes.
func TestLossIsNoStandstillOnceServersAnnounceElsewhere(t *testing.T) {
	x := newStallSystem(4, 4)
	x.pass(10 * time.Second)
	x.areStopped = true
	for silent := time.Duration(0); silent <= 2*time.Second; silent += 20 * time.Millisecond {
		switch silent {
		case longestPass, time.Second, 2 * time.Second:
			x.report(groupIn(0, 0), silent, 0, 1, 2)
			x.report(groupIn(0, 1), silent, 0, 1, 2)
		}
		x.mergeElsewhere(32)
		if x.groupsToBreak() > 0 {
			return
		}
		x.pass(20 * time.Millisecond)
	}
	t.Error("all servers are heard through another process, and two lost groups are never broken")
}

// mergeElsewhere records announcements of some servers that another process has just received.
func (x *stallSystem) mergeElsewhere(servers int) {
	var lines []evidence.DigestLine
	for i := range servers {
		x.announcements++
		lines = append(lines, evidence.DigestLine{Kind: backend.KindEngine, ID: fmt.Sprint("e-", i), Incarnation: "a", Sequence: uint64(x.announcements)})
	}
	x.table.Merge(x.now, "other", lines)
}

// Guards against a lost group that stays in service because its last report arrives while those of a standstill are ignored.
func TestLastReportOfALostGroupIsNotIgnored(t *testing.T) {
	x := newStallSystem(4, 4)
	x.pass(10 * time.Second)
	x.areStopped = true
	stopped := x.now
	for x.now.Sub(stopped) < 5*time.Second {
		silent := x.now.Sub(stopped)
		switch {
		case silent == 400*time.Millisecond:
			x.reportAll(silent, 0, 1, 2)
		case silent == 1100*time.Millisecond:
			x.areStopped = false
		case silent == time.Second, silent == 2*time.Second:
			x.report(groupIn(0, 0), silent, 0, 1, 2, 3, 4, 5)
		case silent%(200*time.Millisecond) == 0 && silent > 400*time.Millisecond && silent < 2*time.Second:
			x.report(groupIn(1, 0), longestPass, 8)
		}
		if x.groupsToBreak() > 0 {
			return
		}
		x.pass(20 * time.Millisecond)
	}
	t.Error("six entries report the group at 1 and 2 s, and it is never broken")
}

// Guards against groups that are all broken in a standstill of which the leader itself was a part.
func TestAnnouncementsThatLayReadyDoNotHideAStandstill(t *testing.T) {
	x := newStallSystem(4, 4)
	x.pass(10 * time.Second)
	x.areStopped = true
	x.now = x.now.Add(1100 * time.Millisecond)
	x.announce(32)
	x.pass(100 * time.Millisecond)
	x.reportAll(1200*time.Millisecond, 0, 1, 2)
	for range 30 {
		assert.Equal(t, x.groupsToBreak(), 0)
		x.pass(20 * time.Millisecond)
	}
}

// Guards against groups that are all broken in a standstill because an idle leader looks only at its steps of 0.3 s and on reports.
func TestStandstillBreaksNoGroupAtStepsOfTheDefaultLength(t *testing.T) {
	const step, interval = 300 * time.Millisecond, 20 * time.Millisecond
	for phase := time.Duration(0); phase < step; phase += interval {
		t.Run(phase.String(), func(t *testing.T) {
			x := newStallSystem(4, 4)
			x.pass(10 * time.Second)
			x.areStopped = true
			x.pass(longestPass)
			x.reportAll(longestPass, 0, 1, 2)
			for since := time.Duration(0); since < 800*time.Millisecond; since += interval {
				if since == 0 || since == controller.LoneStallTime || (since+phase)%step == 0 {
					assert.Equal(t, x.groupsToBreak(), 0, "%s after the reports", since)
				}
				x.pass(interval)
			}
		})
	}
}

// Guards against groups with short passes that are all broken in a standstill before it is seen that announcements have stopped.
func TestGroupsWithShortPassesAreNotBrokenInAStandstill(t *testing.T) {
	for _, limit := range []time.Duration{60, 80, 120} {
		t.Run(fmt.Sprint(int(limit)), func(t *testing.T) {
			x := newStallSystem(4, 4)
			x.pass(10 * time.Second)
			x.areStopped = true
			x.pass(limit * time.Millisecond)
			x.reportAll(limit*time.Millisecond, 0, 1, 2)
			for since := time.Duration(0); since < time.Second; since += 20 * time.Millisecond {
				assert.Equal(t, x.groupsToBreak(), 0, "%s after the reports", since)
				x.pass(20 * time.Millisecond)
			}
		})
	}
}

// Guards against groups that stay in service after their domain is lost, because the other one's servers pause between announcements.
func TestLossOfADomainIsNoStandstillIfAnnouncementsAreFarApart(t *testing.T) {
	const servers, interval, seeds = 24, 1200 * time.Millisecond, 200
	hidden := 0
	for seed := range uint64(seeds) {
		if !isDomainFoundLost(newStallSystem(4, 4), servers, interval, rand.New(rand.NewPCG(seed, 0))) {
			hidden++
		}
	}
	assert.Equal(t, hidden, 0, "of %d losses of one of two domains of %d servers in all", seeds, servers)
}

// isDomainFoundLost reports whether the groups of the first domain are broken within half a second of their reports. Backend
// servers announce themselves at an interval, from random moments on.
func isDomainFoundLost(x *stallSystem, servers int, interval time.Duration, random *rand.Rand) bool {
	const look = 20 * time.Millisecond
	first := make([]time.Duration, servers)
	for i := range first {
		first[i] = time.Duration(random.Int64N(int64(interval))).Truncate(look)
	}
	lost := 10*time.Second + time.Duration(random.Int64N(int64(interval))).Truncate(look)
	x.areStopped = true
	for at := time.Duration(0); at < lost+longestPass+500*time.Millisecond; at += look {
		for i := range first {
			if (at-first[i])%interval == 0 && (at < lost || i >= servers/2) {
				x.announce(1)
			}
		}
		if at == lost+longestPass {
			for i := range 4 {
				x.report(groupIn(0, i), longestPass, 0, 1, 2, 3)
			}
		}
		if at > lost && x.groupsToBreak() == 4 {
			return true
		}
		x.pass(look)
	}
	return false
}

// Guards against groups that are all broken in a standstill of all engines because plain services announce themselves.
func TestServicesThatAnnounceThemselvesDoNotHideAStandstillOfEngines(t *testing.T) {
	x := newStallSystem(4, 4)
	x.passWithServices(10 * time.Second)
	x.areStopped = true
	x.passWithServices(longestPass)
	x.reportAll(longestPass, 0, 1, 2)
	for range 30 {
		assert.Equal(t, x.groupsToBreak(), 0)
		x.passWithServices(20 * time.Millisecond)
	}
}

// passWithServices lets time pass, in which services make a third of the usual announcements.
func (x *stallSystem) passWithServices(d time.Duration) {
	const interval = 20 * time.Millisecond
	for range d / interval {
		if x.now.UnixMilli()%40 == 0 {
			x.announcements++
			x.table.Record(x.now, "self", backend.Announcement{Kind: backend.KindService, ID: "f", Incarnation: "a", Sequence: uint64(x.announcements)})
		}
		x.pass(interval)
	}
}
