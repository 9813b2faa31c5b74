package evidence

import (
	"slices"
	"sort"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// Get returns the report on the engine of a VM.
func (t *Table) Get(vm string) (Report, bool) {
	return t.lookup(key{backend.KindEngine, vm})
}

// GetService returns the report on an instance of a plain service.
func (t *Table) GetService(id string) (Report, bool) {
	return t.lookup(key{backend.KindService, id})
}

func (t *Table) lookup(k key) (Report, bool) {
	r, ok := t.records[k]
	if !ok {
		return Report{}, false
	}
	return r.report, true
}

// Reports returns all reports, engines first, then ordered by id.
func (t *Table) Reports() []Report {
	return t.Select(func(*Report) bool { return true })
}

// Select returns the reports for which fits returns true, engines first, then ordered
// by id. fits must not keep or change its argument.
func (t *Table) Select(fits func(*Report) bool) []Report {
	var all []Report
	for _, r := range t.records {
		if fits(&r.report) {
			all = append(all, r.report)
		}
	}
	sort.Slice(all, func(i, j int) bool { return sortsBefore(all[i].DigestLine, all[j].DigestLine) })
	return all
}

// Len returns the number of backend servers in the table.
func (t *Table) Len() int { return len(t.records) }

// Forget drops the record of a backend server, such as one that has been removed.
func (t *Table) Forget(kind backend.Kind, id string) {
	delete(t.records, key{kind, id})
}

// Fresh reports whether the newest announcement of a VM is at most maxAge old and
// names this incarnation, group and epoch.
func (t *Table) Fresh(now time.Time, vm, incarnation, group string, epoch uint64, maxAge time.Duration) bool {
	r, ok := t.Get(vm)
	if !ok || r.Incarnation != incarnation {
		return false
	}
	if r.Group != group || r.Epoch != epoch {
		return false
	}
	return now.Sub(r.ReceivedAt) <= maxAge
}

// RecentPeerCount returns the number of processes whose last digest is at most maxAge old,
// this process included.
func (t *Table) RecentPeerCount(now time.Time, maxAge time.Duration) int {
	n := 0
	for _, at := range t.digestTimes {
		if now.Sub(at) <= maxAge {
			n++
		}
	}
	return n
}

// HasRecentDigest reports whether the last digest of a process is at most maxAge old.
func (t *Table) HasRecentDigest(now time.Time, source string, maxAge time.Duration) bool {
	at, ok := t.digestTimes[source]
	return ok && now.Sub(at) <= maxAge
}

// HasMajority reports whether the last digests of a majority of the registered entries
// are at most MaxDigestAge old. Only then is the silence of a backend server
// significant. Entries that receive no announcements don't count.
//
// Failure: a partitioned process receives no announcements and would report all
// backend servers dead. On the minority side of a partition HasMajority returns false,
// so the process draws no conclusion. A backend server that no entry of a majority
// receives is not routable for most entries, so giving it up costs little even if it
// is alive.
func (t *Table) HasMajority(now time.Time, board *blackboard.Board) bool {
	heard, all := 0, 0
	for id, e := range board.Entries {
		if e.Deaf {
			continue
		}
		all++
		if t.HasRecentDigest(now, id, MaxDigestAge) {
			heard++
		}
	}
	return heard*2 > all
}

// Routable reports whether an entry may send new work to a group, and the reason if
// it may not.
//
// Failure: a member dies and the group keeps receiving requests that nobody will
// answer. The blackboard changes only after the leader has noticed. Each entry
// therefore requires evidence of its own, at most RoutableAge old, that each member
// is alive under the incarnation that joined, in the current epoch, is ready, and has
// lost none of the other members.
func (t *Table) Routable(now time.Time, board *blackboard.Board, group string) (bool, string) {
	g, ok := board.Groups[group]
	if !ok {
		return false, "unknown group"
	}
	if !g.State.Routable() {
		return false, "group is " + string(g.State)
	}
	for _, m := range g.Members {
		if reason := t.unroutableReason(now, board, g, m); reason != "" {
			return false, "member " + m.VM + " " + reason
		}
	}
	return true, ""
}

func (t *Table) unroutableReason(now time.Time, board *blackboard.Board, g blackboard.Group, m blackboard.GroupMember) string {
	if !t.Fresh(now, m.VM, m.Incarnation, g.ID, g.Epoch, t.RoutableAge()) {
		return "has no fresh evidence in this epoch"
	}
	r, _ := t.Get(m.VM)
	switch {
	case !g.IsMemberReady(m, string(r.Phase)):
		return "is " + string(r.Phase)
	case len(r.Unreachable) > 0:
		return "has lost " + r.Unreachable[0]
	case r.Leaving:
		return "is leaving"
	case board.VMs[m.VM].Leaving:
		return "is leaving"
	}
	return ""
}

func (d *Detail) equal(o *Detail) bool {
	return d.Address == o.Address && d.DataCentre == o.DataCentre &&
		d.FabricDomain == o.FabricDomain && d.Service == o.Service &&
		d.Accelerators == o.Accelerators && d.Model == o.Model &&
		slices.Equal(d.Weights, o.Weights)
}

func sortsBefore(a, b DigestLine) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.ID < b.ID
}

func sortDigest(digest []DigestLine) {
	sort.Slice(digest, func(i, j int) bool { return sortsBefore(digest[i], digest[j]) })
}
