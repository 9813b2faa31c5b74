package main

import (
	stdlog "log"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/logsink"
)

const (
	// libraryLinesPerSecond limits the lines that the libraries write, such as one for each failed accept.
	libraryLinesPerSecond = 5
	// maxLibraryText is the longest text of such a line, in bytes: the trace of a goroutine.
	maxLibraryText = 8 << 10
)

// libraryLines writes to the log of the process what the libraries write to Go's standard logger, such as the trace of a
// handler that panics, or that there are no descriptors left.
type libraryLines struct{ logger log.Logger }

// collectLibraryLines has the standard logger write to logger, and so to standard output.
func collectLibraryLines(logger log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLines{logsink.Limit(level.Warn(logger), libraryLinesPerSecond)})
}

// Write logs one text of the standard logger. It never fails.
func (l libraryLines) Write(text []byte) (int, error) {
	short := text[:min(len(text), maxLibraryText)]
	_ = l.logger.Log("event", "library", "text", strings.TrimSpace(string(short)))
	return len(text), nil
}
