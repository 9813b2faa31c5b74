package backend

import (
	"bytes"
	"strings"
)

// headScan follows the head of one answer, with the 1xx heads before it, as its bytes arrive.
type headScan struct {
	// line is the beginning of the present line, of maxScannedLine at most, and length the length of the line so far.
	line   []byte
	length int
	// hasStatus is set once the status line is complete; isInterim is set in a 1xx head.
	hasStatus, isInterim bool
	// hasCoding is set once the present head names a transfer coding.
	hasCoding bool
	// isComplete is set at the end of the final head.
	isComplete bool
}

const (
	// codingField is the beginning of a line that names a transfer coding.
	codingField = "transfer-encoding:"
	// maxScannedLine is how much of a line is kept, in bytes: enough for a status and for codingField.
	maxScannedLine = 32
)

// read returns the part of data that belongs to heads.
func (s *headScan) read(data []byte) []byte {
	rest := data
	for len(rest) > 0 && !s.isComplete {
		part, after, isEnded := bytes.Cut(rest, []byte{'\n'})
		s.extend(part)
		if isEnded {
			s.endLine()
		}
		rest = after
	}
	return data[:len(data)-len(rest)]
}

func (s *headScan) extend(part []byte) {
	s.length += len(part)
	s.line = append(s.line, part[:min(len(part), maxScannedLine-len(s.line))]...)
}

func (s *headScan) endLine() {
	line := strings.TrimSuffix(string(s.line), "\r")
	isEmpty := line == "" && s.length <= 1
	switch {
	case !s.hasStatus:
		s.hasStatus, s.isInterim = true, isInterimStatus(line)
	case isEmpty && s.isInterim:
		*s = headScan{line: s.line}
	case isEmpty:
		s.isComplete = true
	case len(line) >= len(codingField) && strings.EqualFold(line[:len(codingField)], codingField):
		s.hasCoding = true
	}
	s.line, s.length = s.line[:0], 0
}

// isInterimStatus reports whether a status line announces that another head follows. Status 101 ends the protocol.
func isInterimStatus(line string) bool {
	_, status, _ := strings.Cut(line, " ")
	status = strings.TrimLeft(status, " ")
	return strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101")
}
