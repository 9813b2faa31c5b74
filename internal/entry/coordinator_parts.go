package entry

import (
	"sort"
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/citronstep/citronstep/internal/blackboard"
)

const (
	// groupsPerPart is how many groups one entry coordinates at most. A group that answers 45
	// requests a second takes about 110 calls a second of a tenth of a millisecond, so that
	// four groups are a twentieth of a core.
	groupsPerPart = 16
	// entriesThatDecideAlone is the number of entries up to which no model has a coordinator:
	// up to it placement scales what an entry sent to all entries (see placement.maxWorkRatio),
	// and each entry sees enough requests for a queue of its own.
	entriesThatDecideAlone = 16
)

// coordinatorPart names a part of a model's groups.
type coordinatorPart struct {
	model string
	index int
}

// partition is how a board divides the groups of models into parts, and who coordinates each.
type partition struct {
	board *blackboard.Board
	// models holds the groups of each part of each model.
	models map[string][][]string
	homes  map[coordinatorPart]string
}

// newPartition divides the groups of each model evenly, in order of their ids. All entries with
// the same board get the same parts.
func newPartition(b *blackboard.Board) *partition {
	p := &partition{board: b, models: make(map[string][][]string), homes: make(map[coordinatorPart]string)}
	entries := make(map[string]blackboard.Entry, len(b.Entries))
	for id, e := range b.Entries {
		if e.Address != "" {
			entries[id] = e
		}
	}
	if len(entries) <= entriesThatDecideAlone {
		return p
	}
	groups := make(map[string][]string)
	for id, g := range b.Groups {
		if groupLimit(engineOf(&b.Config, g.Model)) > 0 {
			groups[g.Model] = append(groups[g.Model], id)
		}
	}
	for model, ids := range groups {
		sort.Strings(ids)
		parts := make([][]string, (len(ids)+groupsPerPart-1)/groupsPerPart)
		for i, id := range ids {
			parts[i%len(parts)] = append(parts[i%len(parts)], id)
		}
		p.models[model] = parts
		for i := range parts {
			p.homes[coordinatorPart{model, i}] = homeOf(model+"\x00part "+strconv.Itoa(i), entries)
		}
	}
	return p
}

// partOf returns the part that a request asks: that of a group drawn by the request's id, among
// the groups that it may use.
func (p *partition) partOf(id, model string, mayUse func(group string) bool) (coordinatorPart, bool) {
	best, found, weight := 0, false, uint64(0)
	for i, groups := range p.models[model] {
		for _, g := range groups {
			if w := xxhash.Sum64String(id + "\x00" + g); w >= weight && mayUse(g) {
				best, found, weight = i, true, w
			}
		}
	}
	return coordinatorPart{model, best}, found
}

// partitions holds the partition of the last board.
type partitions struct{ last atomic.Pointer[partition] }

func (p *partitions) of(b *blackboard.Board) *partition {
	last := p.last.Load()
	if last == nil || last.board != b {
		last = newPartition(b)
		p.last.Store(last)
	}
	return last
}
