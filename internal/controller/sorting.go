package controller

import (
	"sort"

	"github.com/citronstep/citronstep/internal/blackboard"
)

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// order holds the rows of the board in the orders that controllers walk them in. It is
// made once for each run: at 1,095 VMs each controller's own sorting cost as much as
// what it decided.
type order struct {
	vms    []string
	groups []blackboard.Group
	// losing holds the groups of which a member is leaving or drained.
	losing map[string]bool
}

// sorted returns the view with the order of its board.
func (v View) sorted() View {
	o := &order{vms: sortedKeys(v.Board.VMs), groups: sortByWorth(v), losing: make(map[string]bool)}
	for _, g := range o.groups {
		if losesMember(v, g) {
			o.losing[g.ID] = true
		}
	}
	v.order = o
	return v
}

// vmIDs returns the ids of all VMs in order.
func (v View) vmIDs() []string {
	if v.order == nil {
		return sortedKeys(v.Board.VMs)
	}
	return v.order.vms
}

// worthOf returns a group's worth under the preset in force.
func worthOf(v View, g blackboard.Group) int {
	if _, ok := v.Board.Config.Groups[g.Spec]; !ok {
		return g.Worth
	}
	return v.Board.Config.GroupWorth(g.Spec)
}

// groupsByWorth returns all groups, worth most first, then by id.
func groupsByWorth(v View) []blackboard.Group {
	if v.order == nil {
		return sortByWorth(v)
	}
	return v.order.groups
}

func sortByWorth(v View) []blackboard.Group {
	groups := make([]blackboard.Group, 0, len(v.Board.Groups))
	worth := make(map[string]int, len(v.Board.Groups))
	for id, g := range v.Board.Groups {
		groups = append(groups, g)
		worth[id] = worthOf(v, g)
	}
	sort.Slice(groups, func(i, j int) bool {
		a, b := groups[i].ID, groups[j].ID
		if worth[a] != worth[b] {
			return worth[a] > worth[b]
		}
		return a < b
	})
	return groups
}
