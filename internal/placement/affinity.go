package placement

import "github.com/cespare/xxhash/v2"

const (
	// affinityBlocks is the prefix length, in blocks, that decides where a
	// prompt goes: long enough to tell documents apart that share a system
	// prompt, short enough that the turns of one dialogue stay together.
	affinityBlocks = 4
	// hintsPerTarget bounds the blocks remembered for one target: 710 targets
	// keep under 20 MB. Past it the oldest hint is forgotten, which costs a
	// cache hit and nothing else.
	hintsPerTarget = 512
	// holdersPerBlock bounds the targets remembered for one block. A prefix
	// that more hold is found on enough of them.
	holdersPerBlock = 6
	// hintLookups bounds how many blocks of a prompt are looked up.
	hintLookups = 32
)

// affinityKey returns what rendezvous hashing places r by; 0 if nothing.
func affinityKey(r Request) uint64 {
	if n := len(r.Prefix); n > 0 {
		return r.Prefix[min(n, affinityBlocks)-1]
	}
	if r.Session != "" {
		return xxhash.Sum64String(r.Session)
	}
	return 0
}

// weight is the rendezvous weight of a key on a target: the key goes to the
// target of greatest weight, and moves only when that target comes or goes.
func weight(key, target uint64) uint64 {
	h := (key ^ target) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// holders are the targets that are believed to hold a block.
type holders struct {
	count   uint8
	targets [holdersPerBlock]*target
}

// hintList is the order in which a target's hints came.
type hintList struct {
	sequence uint64
	blocks   []uint64
	next     int
}

// hints maps blocks to targets.
type hints map[uint64]*holders

// add notes that t holds block. Engines may announce a block twice.
func (h hints) add(t *target, block uint64) {
	held := h[block]
	if held == nil {
		held = &holders{}
		h[block] = held
	}
	for _, other := range held.targets[:held.count] {
		if other == t {
			return
		}
	}
	if held.count == holdersPerBlock {
		return
	}
	held.targets[held.count] = t
	held.count++
	h.keep(t, block)
}

// keep puts block into t's list, in place of the oldest if that is full.
func (h hints) keep(t *target, block uint64) {
	l := &t.hints
	if len(l.blocks) < hintsPerTarget {
		l.blocks = append(l.blocks, block)
		return
	}
	h.drop(t, l.blocks[l.next])
	l.blocks[l.next] = block
	l.next = (l.next + 1) % hintsPerTarget
}

// drop forgets that t holds block. The list keeps the entry until it is
// overwritten; dropping it again then does nothing.
func (h hints) drop(t *target, block uint64) {
	held := h[block]
	if held == nil {
		return
	}
	for i, other := range held.targets[:held.count] {
		if other != t {
			continue
		}
		held.count--
		held.targets[i] = held.targets[held.count]
		held.targets[held.count] = nil
		break
	}
	if held.count == 0 {
		delete(h, block)
	}
}

// dropAll forgets everything about t.
func (h hints) dropAll(t *target) {
	for _, block := range t.hints.blocks {
		h.drop(t, block)
	}
	t.hints = hintList{}
}

// longest returns the targets that hold most of prefix, and how many blocks.
func (h hints) longest(prefix []uint64) ([]*target, int) {
	stop := max(0, len(prefix)-hintLookups)
	for i := len(prefix); i > stop; i-- {
		if held := h[prefix[i-1]]; held != nil {
			return held.targets[:held.count], i
		}
	}
	return nil, 0
}
