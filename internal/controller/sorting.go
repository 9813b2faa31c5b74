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

// sortedRows holds the rows of the board in the orders in which controllers iterate over them.
// Run computes it once: at 1,095 VMs the sorting in each controller cost as much as its
// decisions.
type sortedRows struct {
	vms    []string
	groups []blackboard.Group
	// losing holds the groups of which a member is leaving or drained.
	losing map[string]bool
}

// withRows returns the view with the sorted rows of its board.
func (v View) withRows() View {
	o := &sortedRows{vms: sortedKeys(v.Board.VMs), groups: sortByWorth(v), losing: make(map[string]bool)}
	for _, g := range o.groups {
		if losesMember(v, g) {
			o.losing[g.ID] = true
		}
	}
	v.rows = o
	return v
}

// vmIDs returns the sorted IDs of all VMs.
func (v View) vmIDs() []string {
	if v.rows == nil {
		return sortedKeys(v.Board.VMs)
	}
	return v.rows.vms
}

// worthOf returns the worth of a group under the preset in force.
func worthOf(v View, g blackboard.Group) int {
	if _, ok := v.Board.Config.Groups[g.Spec]; !ok {
		return g.Worth
	}
	return v.Board.Config.GroupWorth(g.Spec)
}

// groupsByWorth returns all groups, the highest worth first, then by ID.
func groupsByWorth(v View) []blackboard.Group {
	if v.rows == nil {
		return sortByWorth(v)
	}
	return v.rows.groups
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
