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

// worthOf returns a group's worth under the preset in force.
func worthOf(v View, g blackboard.Group) int {
	if _, ok := v.Board.Config.Groups[g.Spec]; !ok {
		return g.Worth
	}
	return v.Board.Config.GroupWorth(g.Spec)
}

// groupsByWorth returns all groups, worth most first, then by id.
func groupsByWorth(v View) []blackboard.Group {
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
