package bounded

import "bytes"

// The memory that the header of a message takes for each of its bytes, lines and items of a list, in bytes. It covers
// the table that net/http builds, with what it allocates meanwhile, and the copies that are made to forward the message.
const (
	HeaderCostPerByte = 2
	HeaderCostPerLine = 384
	// headerCostPerItem is that of an item of a list of values: net/http turns the Trailer header into a table.
	headerCostPerItem = 128
)

// LargeHeader is the memory above which a header is large for Memory, in bytes. A header of the usual 10 to 20 lines
// takes less than half of it.
const LargeHeader = 16 << 10

// HeaderCost returns the most memory that a part of a header takes, in bytes.
func HeaderCost(part []byte) int64 {
	lines, items := bytes.Count(part, []byte{'\n'}), bytes.Count(part, []byte{','})
	return int64(HeaderCostPerByte*len(part) + HeaderCostPerLine*lines + headerCostPerItem*items)
}
