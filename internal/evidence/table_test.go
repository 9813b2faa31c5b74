package evidence

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func announcement(incarnation string, sequence uint64) backend.Announcement {
	return backend.Announcement{
		ID: "vm", Kind: backend.KindEngine, Incarnation: incarnation, Sequence: sequence,
		Group: "demo-0", Epoch: 7, Phase: backend.PhaseReady, Address: "10.0.0.1:1",
	}
}

// tick calls the table at the rate of a running process, so that it detects no pause.
func tick(t *Table, from, to int) {
	for ms := from; ms <= to; ms += 200 {
		t.Digest(at(ms), t.cursor)
	}
}

func TestFreshRequiresIncarnationGroupEpochAndAge(t *testing.T) {
	table := NewTable("a", 1)
	table.Record(at(0), "a", announcement("x", 1))
	now := at(1200)
	assert.Assert(t, table.Fresh(now, "vm", "x", "demo-0", 7, RoutableAge))
	assert.Assert(t, !table.Fresh(at(1201), "vm", "x", "demo-0", 7, RoutableAge), "too old")
	assert.Assert(t, !table.Fresh(now, "vm", "y", "demo-0", 7, RoutableAge), "another incarnation")
	assert.Assert(t, !table.Fresh(now, "vm", "x", "demo-1", 7, RoutableAge), "another group")
	assert.Assert(t, !table.Fresh(now, "vm", "x", "demo-0", 8, RoutableAge), "another epoch")
	assert.Assert(t, !table.Fresh(now, "other", "x", "demo-0", 7, RoutableAge), "no announcement")
}

// Failure: requests are routed to a dead member because a digest was delayed for ten
// seconds and appeared fresh on arrival. Dated from the time of its request, it is old.
func TestDelayedDigestIsOld(t *testing.T) {
	sender, receiver := NewTable("a", 1), NewTable("b", 1)
	sender.Record(at(0), "a", announcement("x", 1))
	digest, _ := sender.Digest(at(100), Cursor{})
	asked, arrived := at(90), at(10_000)
	receiver.Merge(asked, "a", digest)
	r, ok := receiver.Get("vm")
	assert.Assert(t, ok)
	assert.Equal(t, r.ReceivedAt, at(-10))
	assert.Assert(t, !receiver.Fresh(arrived, "vm", "x", "demo-0", 7, RoutableAge))
	assert.Equal(t, receiver.RecentPeerCount(arrived, MaxDigestAge), 0)
}

// Failure: after a pause of an entry, requests are routed to a dead member for a
// second. The member's last announcements waited in the entry's socket buffers.
func TestAnnouncementsReadAfterAPauseAreNotFresh(t *testing.T) {
	table := NewTable("a", 1)
	tick(table, 0, 1000)
	table.Record(at(1000), "a", announcement("x", 1))
	table.Record(at(11_000), "a", announcement("x", 2))
	assert.Assert(t, !table.Fresh(at(11_000), "vm", "x", "demo-0", 7, RoutableAge))
	tick(table, 11_000, 12_000)
	table.Record(at(12_100), "a", announcement("x", 3))
	assert.Assert(t, table.Fresh(at(12_100), "vm", "x", "demo-0", 7, RoutableAge))
}

// Failure: a delayed copy of an announcement of the previous incarnation arrives, and
// the record alternates between the two incarnations.
func TestDelayedCopyDoesNotRestoreAnIncarnation(t *testing.T) {
	table := NewTable("a", 1)
	table.Record(at(0), "a", announcement("old", 5))
	table.Record(at(400), "a", announcement("new", 1))
	table.Record(at(800), "a", announcement("old", 6))
	r, _ := table.Get("vm")
	assert.Equal(t, r.Incarnation, "new")
	table.Merge(at(900), "b", []DigestLine{{Kind: backend.KindEngine, ID: "vm", Incarnation: "older", Sequence: 9, AgeMillis: 600}})
	r, _ = table.Get("vm")
	assert.Equal(t, r.Incarnation, "new", "received before the current one")
	tick(table, 800, 4000)
	table.Record(at(4000), "a", announcement("old", 7))
	r, _ = table.Get("vm")
	assert.Equal(t, r.Incarnation, "old", "it goes on announcing while the other is silent")
}

func TestOlderSequenceChangesNothing(t *testing.T) {
	table := NewTable("a", 1)
	table.Record(at(0), "a", announcement("x", 5))
	late := announcement("x", 4)
	late.Phase = backend.PhaseIdle
	table.Record(at(400), "a", late)
	r, _ := table.Get("vm")
	assert.Equal(t, r.Phase, backend.PhaseReady)
	assert.Equal(t, r.ReceivedAt, at(0))
}

// Failure: a new leader never receives a VM's address, because the only digest that
// carried the address was lost. The cursor makes the peer send it again.
func TestLostDigestIsSentAgain(t *testing.T) {
	table := NewTable("a", 1)
	table.Record(at(0), "a", announcement("x", 1))
	first, next := table.Digest(at(100), Cursor{})
	assert.Assert(t, first[0].Detail != nil)
	again, _ := table.Digest(at(200), Cursor{})
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Detail != nil)
	none, _ := table.Digest(at(300), next)
	assert.Equal(t, len(none), 0)
	table.Record(at(400), "a", announcement("x", 2))
	short, _ := table.Digest(at(500), next)
	assert.Assert(t, short[0].Detail == nil, "it has not changed")
	assert.Equal(t, short[0].AgeMillis, int64(100))
	moved, _ := table.Digest(at(600), Cursor{Run: 9, Number: 50})
	assert.Assert(t, moved[0].Detail != nil, "the cursor is of an earlier run")
}

// Failure: an entry's memory grows with each id that was ever announced to it.
func TestTableIsBounded(t *testing.T) {
	table := NewTable("a", 1)
	for n := range maxRecords + 100 {
		a := announcement("x", 1)
		a.ID = fmt.Sprint(n)
		table.Record(at(0), "a", a)
	}
	assert.Equal(t, len(table.Reports()), maxRecords)
	table.Digest(start.Add(recordTTL+time.Second), Cursor{})
	assert.Equal(t, len(table.Reports()), 0)
}

// Failure: a partitioned process reports every backend server dead. Silence is
// significant only with recent digests of a majority of the registered entries.
func TestCoveredRequiresAMajorityOfRegisteredEntries(t *testing.T) {
	board := blackboard.New()
	for _, id := range []string{"a", "b", "c", "d"} {
		board.Entries[id] = blackboard.Entry{ID: id}
	}
	table := NewTable("a", 1)
	table.Digest(at(0), Cursor{})
	table.Merge(at(0), "b", nil)
	table.Merge(at(0), "stranger", nil)
	assert.Equal(t, table.RecentPeerCount(at(0), MaxDigestAge), 3)
	assert.Assert(t, !table.HasMajority(at(0), board), "two of four")
	table.Merge(at(0), "c", nil)
	assert.Assert(t, table.HasMajority(at(0), board))
	assert.Assert(t, !table.HasMajority(at(1001), board), "too old")
	assert.Assert(t, !NewTable("a", 1).HasMajority(at(0), blackboard.New()), "no entries")
}

func TestRoutableReturnsTheReason(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*blackboard.Group, *backend.Announcement)
		want   string
	}{
		{"complete", func(*blackboard.Group, *backend.Announcement) {}, ""},
		{"loading", func(g *blackboard.Group, _ *backend.Announcement) { g.State = blackboard.Loading }, "group is loading"},
		{"draining", func(g *blackboard.Group, _ *backend.Announcement) { g.State = blackboard.Draining }, "group is draining"},
		{"epoch", func(_ *blackboard.Group, a *backend.Announcement) { a.Epoch = 6 }, "member vm has no fresh evidence in this epoch"},
		{"incarnation", func(_ *blackboard.Group, a *backend.Announcement) { a.Incarnation = "y" }, "member vm has no fresh evidence in this epoch"},
		{"phase", func(_ *blackboard.Group, a *backend.Announcement) { a.Phase = backend.PhaseLoading }, "member vm is loading"},
		{"lost", func(_ *blackboard.Group, a *backend.Announcement) { a.Unreachable = []string{"vm-2"} }, "member vm has lost vm-2"},
		{"leaving", func(_ *blackboard.Group, a *backend.Announcement) { a.Leaving = true }, "member vm is leaving"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := blackboard.Group{
				ID: "demo-0", Epoch: 7, State: blackboard.Serving,
				Members: []blackboard.GroupMember{{VM: "vm", Incarnation: "x"}},
			}
			a := announcement("x", 1)
			c.change(&g, &a)
			board := blackboard.New()
			board.Groups[g.ID] = g
			table := NewTable("a", 1)
			table.Record(at(0), "a", a)
			ok, reason := table.Routable(at(100), board, "demo-0")
			assert.Equal(t, reason, c.want)
			assert.Equal(t, ok, c.want == "")
		})
	}
}

// A backend server restarts, and an announcement of its previous incarnation arrives
// seconds later with a higher sequence. If start times are announced, the previous
// incarnation must change nothing, however long the current one is silent. The current
// one must be accepted from its first announcement, whatever its sequence.
func TestIncarnationThatStartedLaterIsCurrent(t *testing.T) {
	startedAt := func(started int64, sequence uint64) backend.Announcement {
		a := announcement(fmt.Sprint("x@", started), sequence)
		a.StartedMillis = started
		return a
	}
	table := NewTable("a", 1)
	table.Record(at(0), "a", startedAt(10, 50))
	table.Record(at(400), "a", startedAt(20, 1))
	r, _ := table.Get("vm")
	assert.Equal(t, r.Incarnation, "x@20")
	tick(table, 400, 9000)
	for i := range uint64(4) {
		table.Record(at(9000+int(i)), "a", startedAt(10, 51+i))
	}
	table.Record(at(9005), "a", announcement("x@0", 99))
	r, _ = table.Get("vm")
	assert.Equal(t, r.Incarnation, "x@20")
	assert.Equal(t, r.ReceivedAt, at(400))
	table.Merge(at(9100), "b", []DigestLine{{Kind: backend.KindEngine, ID: "vm", Incarnation: "x@30", StartedMillis: 30, Sequence: 1, AgeMillis: 9000}})
	r, _ = table.Get("vm")
	assert.Equal(t, r.Incarnation, "x@30", "received before the current one, but it started later")
}
