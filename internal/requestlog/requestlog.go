// Package requestlog limits the number of log lines about requests.
//
// A small VM, with a fifth of a core, may handle thousands of requests per second, each with a
// line for its routing and for each attempt. Logging all of them would take the processor time
// that requests need. Dropping single lines would leave failed requests without an explanation.
// So all lines of a request are written or dropped together, and failed requests have
// precedence.
package requestlog

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// preOutcomeShare is the share of a second's lines that requests may use before their
	// outcome is known. The rest is reserved for requests that fail.
	preOutcomeShare = 0.5
	// warningShare is the share of a second's lines that is reserved for warnings.
	warningShare = 0.1
	// maxHeldLines bounds the lines held for one request: a few attempts with one line each at
	// their start and end.
	maxHeldLines = 32
)

// Log divides the line limit of one process between its requests. It is safe for concurrent
// use.
type Log struct {
	next      log.Logger
	perSecond int
	now       func() time.Time

	mu     sync.Mutex
	second int64
	// used counts the lines written in this second; dropped and requests count the lines and
	// requests that were dropped and not reported yet.
	used, dropped, requests int
	// warnings counts the warnings of this second, which used includes.
	warnings int
}

// New returns a Log that writes at most perSecond lines per second to next; 0 means no limit.
func New(next log.Logger, perSecond int) *Log {
	return &Log{next: next, perSecond: perSecond, now: time.Now}
}

// Lines holds the log lines of one request. A nil *Lines writes nothing.
type Lines struct {
	log *Log

	mu sync.Mutex
	// passThrough is set when lines are written at once instead of held.
	passThrough bool
	held        [][]any
}

// Request returns the Lines of a new request. Its lines are written at once while capacity is
// left; otherwise they are held until it is known whether the request failed.
func (l *Log) Request() *Lines {
	return &Lines{log: l, passThrough: l.hasCapacity(1, preOutcomeShare)}
}

// Info writes or holds one line.
func (ln *Lines) Info(keyvals ...any) {
	if ln == nil {
		return
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.passThrough {
		ln.log.write(keyvals)
		return
	}
	if len(ln.held) < maxHeldLines {
		ln.held = append(ln.held, keyvals)
	}
}

// End reports how the request ended. Held lines are written if the request failed and capacity
// is left; otherwise they are counted as dropped. Lines logged after End are written at once.
func (ln *Lines) End(failed bool) {
	if ln == nil {
		return
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.passThrough {
		return
	}
	ln.passThrough = true
	if failed && ln.log.hasCapacity(len(ln.held), 1-warningShare) {
		for _, keyvals := range ln.held {
			ln.log.write(keyvals)
		}
	} else {
		ln.log.drop(len(ln.held))
	}
	ln.held = nil
}

// hasCapacity reports whether n more lines fit into the given share of this second's lines.
func (l *Log) hasCapacity(n int, share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startSecond()
	return l.perSecond <= 0 || float64(l.used+n) <= share*float64(l.perSecond)
}

// startSecond resets the counters when a new second has begun and reports the lines dropped
// before it. The caller holds l.mu.
func (l *Log) startSecond() {
	second := l.now().Unix()
	if second == l.second {
		return
	}
	l.second, l.used, l.warnings = second, 0, 0
	if l.dropped == 0 {
		return
	}
	_ = level.Warn(l.next).Log("event", "request_lines_dropped", "requests", l.requests, "lines", l.dropped,
		"reason", "more lines per second than the settings allow")
	l.dropped, l.requests = 0, 0
}

// Warn writes one line at level warn at once. Warnings have warningShare of a second's lines to themselves, and may use what
// others leave of the rest. Further ones are counted as dropped.
func (l *Log) Warn(keyvals ...any) {
	if !l.takeWarning() {
		l.drop(1)
		return
	}
	_ = level.Warn(l.next).Log(keyvals...)
}

// takeWarning counts a warning and reports whether there was capacity for it.
func (l *Log) takeWarning() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startSecond()
	reserved := max(1, int(warningShare*float64(l.perSecond)))
	if l.perSecond > 0 && l.warnings >= reserved && l.used >= l.perSecond {
		return false
	}
	l.used++
	l.warnings++
	return true
}

func (l *Log) drop(lines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped += lines
	l.requests++
}

func (l *Log) write(keyvals []any) {
	l.mu.Lock()
	l.startSecond()
	l.used++
	l.mu.Unlock()
	_ = level.Info(l.next).Log(keyvals...)
}
