package placement

import "github.com/cespare/xxhash/v2"

const (
	// affinityBlocks is the prefix length, in blocks, that affinity hashes: long enough to
	// distinguish documents that share a system prompt, short enough that the turns of one
	// dialogue stay together.
	affinityBlocks = 4
	// maxHintsPerTarget bounds the blocks remembered for one target: 710 targets need under 20
	// MB. When it is reached, the oldest hint is dropped, which costs a cache hit and nothing
	// else.
	maxHintsPerTarget = 512
	// maxHoldersPerBlock bounds the targets remembered for one block. A prefix that more
	// targets hold is still found on enough of them.
	maxHoldersPerBlock = 6
	// maxHintLookups bounds how many blocks of a prompt are looked up.
	maxHintLookups = 32
)

// affinityKey returns the key that rendezvous hashing uses for r; 0 if r has neither prefix nor
// session.
func affinityKey(r Request) uint64 {
	if n := len(r.Prefix); n > 0 {
		return r.Prefix[min(n, affinityBlocks)-1]
	}
	if r.Session != "" {
		return xxhash.Sum64String(r.Session)
	}
	return 0
}

// rendezvousWeight returns the weight of a key on a target. The key maps to the target of
// greatest weight, and moves only when that target is added or removed.
func rendezvousWeight(key, target uint64) uint64 {
	h := (key ^ target) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// holders are the targets that are believed to hold a block.
type holders struct {
	count   uint8
	targets [maxHoldersPerBlock]*target
}

// hintList holds a target's hints in the order of their arrival.
type hintList struct {
	sequence uint64
	blocks   []uint64
	next     int
}

// hints maps blocks to the targets that are believed to hold them.
type hints map[uint64]*holders

// add records that t holds block. Engines may announce a block twice.
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
	if held.count == maxHoldersPerBlock {
		return
	}
	held.targets[held.count] = t
	held.count++
	h.remember(t, block)
}

// remember puts block into t's list, in place of the oldest if the list is full.
func (h hints) remember(t *target, block uint64) {
	l := &t.hints
	if len(l.blocks) < maxHintsPerTarget {
		l.blocks = append(l.blocks, block)
		return
	}
	h.drop(t, l.blocks[l.next])
	l.blocks[l.next] = block
	l.next = (l.next + 1) % maxHintsPerTarget
}

// drop removes t from the holders of block. t's list keeps the block until it is overwritten;
// drop then has no effect.
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

// dropAll removes all hints of t.
func (h hints) dropAll(t *target) {
	for _, block := range t.hints.blocks {
		h.drop(t, block)
	}
	t.hints = hintList{}
}

// longestHeld returns the targets that hold the longest part of prefix, and its length in
// blocks.
func (h hints) longestHeld(prefix []uint64) ([]*target, int) {
	stop := max(0, len(prefix)-maxHintLookups)
	for i := len(prefix); i > stop; i-- {
		if held := h[prefix[i-1]]; held != nil {
			return held.targets[:held.count], i
		}
	}
	return nil, 0
}
