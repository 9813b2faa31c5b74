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
	for _, id := range sortedKeys(v.Board.Groups) {
		groups = append(groups, v.Board.Groups[id])
	}
	sort.SliceStable(groups, func(i, j int) bool {
		return worthOf(v, groups[i]) > worthOf(v, groups[j])
	})
	return groups
}
