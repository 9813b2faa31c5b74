package backend

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length in bytes of one block of a prompt in the
// protocol's cache events. It is about 16 tokens of English text.
const PrefixBlockBytes = 64

// PrefixBlocks returns the hashes of a prompt's complete blocks. Each hash covers its
// block and all blocks before it, so equal hashes mean equal prefixes. A last block
// shorter than PrefixBlockBytes has no hash.
func PrefixBlocks(prompt string) []uint64 {
	count := len(prompt) / PrefixBlockBytes
	blocks := make([]uint64, 0, count)
	var previous uint64
	for i := range count {
		start := i * PrefixBlockBytes
		previous = chainBlock(previous, prompt[start:start+PrefixBlockBytes])
		blocks = append(blocks, previous)
	}
	return blocks
}

func chainBlock(previous uint64, block string) uint64 {
	var buffer [8 + PrefixBlockBytes]byte
	binary.LittleEndian.PutUint64(buffer[:8], previous)
	copy(buffer[8:], block)
	return xxhash.Sum64(buffer[:])
}
