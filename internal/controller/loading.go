package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// storeLoads is how many groups load from the weight store at once.
//
// Load: many groups are rebuilt at once after a fabric domain went dark, and
// the store's rate is fixed. Harm: when all load side by side, all finish
// last; one after the other, the average group waits half as long, and the
// one worth most is first. Reason for two and not one: a load spends part of
// its time off the store, copying weights into accelerators.
const storeLoads = 2

// loading lets formed groups load in order of worth, sends and resends the
// orders, and takes a group into service when each member reports ready.
func loading(v View, now time.Time, a *Actions) {
	var at store
	for _, g := range v.Board.Groups {
		if g.State == blackboard.Loading && !g.Opens && readsStore(v, g) {
			at.begin(worthOf(v, g))
		}
	}
	for _, g := range loadingOrder(v) {
		switch {
		case g.Opens && g.State == blackboard.Forming:
			startOpening(v, now, a, g)
		case g.Opens && g.State == blackboard.Loading:
			continueOpening(v, now, a, g)
		case g.State == blackboard.Forming:
			startLoading(v, now, a, g, &at)
		case g.State == blackboard.Loading:
			continueLoading(v, now, a, g)
		}
	}
}

// loadingOrder returns the groups that are on their way to serve, in the order in which they are to load: those worth
// most first; of equal worth, those of the models that have the smallest part of the groups
// that they should have.
//
// Load: a pool of 3,000 VMs starts, and the callers of all its models come before all
// groups serve. In the order of their ids the groups of one model came last, and while half
// of the pool served, that model's callers found nobody.
func loadingOrder(v View) []blackboard.Group {
	groups := groupsByWorth(v)
	served := make(map[string]int)
	for _, g := range groups {
		if g.Opens && g.State == blackboard.Serving {
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
		if g.Opens {
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

// store is what loads from the weight store.
type store struct {
	loads int
	// top is the worth of the group worth most that loads.
	top int
}

func (s *store) begin(worth int) {
	if s.loads == 0 || worth > s.top {
		s.top = worth
	}
	s.loads++
}

func (s *store) room(worth int) bool {
	return s.loads < storeLoads || worth > s.top
}

func startLoading(v View, now time.Time, a *Actions, g blackboard.Group, at *store) {
	if !readsStore(v, g) {
		a.moveGroup(g, blackboard.Loading, "members hold the weights", now)
		return
	}
	worth := worthOf(v, g)
	if !at.room(worth) {
		return
	}
	at.begin(worth)
	a.moveGroup(g, blackboard.Loading, "from the weight store", now)
	a.decide(Decision{Kind: "load", Subject: g.ID, Choice: g.Model, Reason: "worth most of those that wait"})
}

// readsStore tells whether a member still has to fetch weights.
func readsStore(v View, g blackboard.Group) bool {
	for _, m := range g.Members {
		if !holdsWeights(v, m.VM, g.Model) {
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
		if !hasReport || r.Incarnation != m.Incarnation || now.Sub(r.HeardAt) > v.Evidence.RoutableAge() {
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
		// An engine in another epoch is told to leave it by correcting first.
	}
	if ready == len(g.Members) {
		a.moveGroup(g, blackboard.Serving, "all members ready", now)
		a.decide(Decision{Kind: "serve", Subject: g.ID, Choice: "serving", Reason: "all members ready in this epoch"})
	}
}
