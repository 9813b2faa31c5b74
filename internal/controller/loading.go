package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// maxStoreLoads is how many groups load from the weight store at the same time.
//
// Load: many groups are rebuilt at once after the loss of a fabric domain, and the store's rate
// is fixed. Harm: if all groups load in parallel, all finish last. One after the other, the
// average group waits half as long, and the group with the highest worth is first. Reason for two
// and not one: a load spends part of its time off the store, copying weights into accelerators.
const maxStoreLoads = 2

// loadGroups lets formed groups load in order of worth, sends and resends the orders, and takes a
// group into service when each member reports ready.
func loadGroups(v View, now time.Time, a *Actions) {
	var running storeLoads
	for _, g := range v.Board.Groups {
		if g.State == blackboard.Loading && !g.RequiresOpenHead && needsStore(v, g) {
			running.begin(worthOf(v, g))
		}
	}
	for _, g := range loadingOrder(v) {
		switch {
		case g.RequiresOpenHead && g.State == blackboard.Forming:
			startPoolLoading(v, now, a, g)
		case g.RequiresOpenHead && g.State == blackboard.Loading:
			continuePoolLoading(v, now, a, g)
		case g.State == blackboard.Forming:
			startLoading(v, now, a, g, &running)
		case g.State == blackboard.Loading:
			continueLoading(v, now, a, g)
		}
	}
}

// loadingOrder returns the groups that form or load, in the order in which they are to load: the
// highest worth first; of equal worth, the groups of the models that have the smallest part of
// their wanted groups.
//
// Load: a pool of 3,000 VMs starts, and the callers of all its models arrive before all groups
// serve. In the order of their IDs, the groups of one model came last. While half of the pool
// served, that model's callers found no group.
func loadingOrder(v View) []blackboard.Group {
	groups := groupsByWorth(v)
	served := make(map[string]int)
	for _, g := range groups {
		if g.RequiresOpenHead && g.State == blackboard.Serving {
			served[g.Spec]++
		}
	}
	part := make(map[string]float64)
	var ordered []blackboard.Group
	for _, g := range groups {
		if g.State != blackboard.Forming && g.State != blackboard.Loading {
			continue
		}
		ordered = append(ordered, g)
		if g.RequiresOpenHead {
			served[g.Spec]++
			part[g.ID] = float64(served[g.Spec]) / float64(max(1, wantedGroups(v, g.Spec)))
		}
	}
	slices.SortStableFunc(ordered, func(a, b blackboard.Group) int {
		if x, y := worthOf(v, a), worthOf(v, b); x != y {
			return y - x
		}
		return cmp.Compare(part[a.ID], part[b.ID])
	})
	return ordered
}

// storeLoads counts the groups that load from the weight store.
type storeLoads struct {
	loads int
	// topWorth is the highest worth of the groups that load.
	topWorth int
}

func (s *storeLoads) begin(worth int) {
	if s.loads == 0 || worth > s.topWorth {
		s.topWorth = worth
	}
	s.loads++
}

func (s *storeLoads) hasCapacity(worth int) bool {
	return s.loads < maxStoreLoads || worth > s.topWorth
}

func startLoading(v View, now time.Time, a *Actions, g blackboard.Group, running *storeLoads) {
	if !needsStore(v, g) {
		a.moveGroup(g, blackboard.Loading, "members hold the weights", now)
		return
	}
	worth := worthOf(v, g)
	if !running.hasCapacity(worth) {
		return
	}
	running.begin(worth)
	a.moveGroup(g, blackboard.Loading, "from the weight store", now)
	a.decide(Decision{Kind: "load", Subject: g.ID, Choice: g.Model, Reason: "highest worth of the waiting groups"})
}

// needsStore reports whether a member still has to fetch weights.
func needsStore(v View, g blackboard.Group) bool {
	for _, m := range g.Members {
		if needsFetch(v, v.Board.VMs[m.VM], g.Model) {
			return true
		}
	}
	return false
}

func holdsWeights(v View, vm, model string) bool {
	return slices.Contains(v.Board.VMs[vm].Weights, model)
}

func continueLoading(v View, now time.Time, a *Actions, g blackboard.Group) {
	ready := 0
	for rank, m := range g.Members {
		r, hasReport := v.Evidence.Get(m.VM)
		if !hasReport || r.Incarnation != m.Incarnation || now.Sub(r.ReceivedAt) > v.Evidence.RoutableAge() {
			continue
		}
		inEpoch := r.Group == g.ID && r.Epoch == g.Epoch
		switch {
		case inEpoch && r.Phase == backend.PhaseReady && len(r.Unreachable) == 0:
			ready++
		case inEpoch:
		case r.Group == "":
			sendLoad(v, now, a, g, rank)
		}
		// releaseStrayEngines first orders an engine in another epoch to leave it.
	}
	if ready == len(g.Members) {
		a.moveGroup(g, blackboard.Serving, "all members ready", now)
		a.decide(Decision{Kind: "serve", Subject: g.ID, Choice: "serving", Reason: "all members ready in this epoch"})
	}
}
