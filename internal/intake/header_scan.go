package intake

import "github.com/citronstep/citronstep/internal/bounded"

// maxBehindCost is the most memory that a header takes of which net/http has buffered the beginning: its shortest lines
// have three bytes.
const maxBehindCost = readAhead*bounded.HeaderCostPerByte + readAhead/3*bounded.HeaderCostPerLine

// readAhead is how much net/http reads ahead of what it parses, in bytes.
const readAhead = 4 << 10

// addBehind adds the cost of bytes that may belong to the next header to that of those before them, which net/http may
// have buffered.
func addBehind(cost int64, data []byte) int64 {
	if len(data) >= readAhead {
		cost = 0
		data = data[len(data)-readAhead:]
	}
	return min(cost+bounded.HeaderCost(data), maxBehindCost)
}

// headerScan finds the end of a header in the pieces in which it arrives.
type headerScan struct {
	// hasText is set once a line has not been empty: empty lines before the request line are skipped.
	hasText bool
	// line counts the bytes of the line that has begun, without a carriage return at its end.
	line int
	// hasReturn is set if the last byte was a carriage return.
	hasReturn bool
}

// split returns how many bytes of data belong to the header, and whether it ends there.
func (s *headerScan) split(data []byte) (n int, ends bool) {
	for i, b := range data {
		switch {
		case b == '\n':
			if s.line == 0 && s.hasText {
				*s = headerScan{}
				return i + 1, true
			}
			s.line, s.hasReturn = 0, false
		case b == '\r' && !s.hasReturn:
			s.hasReturn = true
		default:
			if s.hasReturn {
				s.line++
			}
			s.line++
			s.hasText, s.hasReturn = true, b == '\r'
		}
	}
	return len(data), false
}
