// Package requestlog bounds what is logged of requests.
//
// Load: thousands of requests a second, each with a line for its routing and for
// each attempt, on a VM with a fifth of a core. Harm of logging all: the log takes
// the processor that requests need; harm of dropping lines one by one: what is left of a
// failed request explains nothing. So all lines of a request are written or
// dropped together, those of requests that failed before those that did not.
package requestlog

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// goodPart is the part of a second's lines that requests may use before it is
	// known how they end; the rest is kept for those that fail.
	goodPart = 0.5
	// maxHeld bounds the lines kept of one request: some attempts with a line each
	// at their beginning and end.
	maxHeld = 32
)

// Log shares out the lines of one process. It is safe for concurrent use.
type Log struct {
	to        log.Logger
	perSecond int
	now       func() time.Time

	mu     sync.Mutex
	second int64
	// used are the lines of this second; dropped and requests are those not
	// written and not told of yet.
	used, dropped, requests int
}

// New returns a Log of at most perSecond lines a second; 0 means no bound.
func New(to log.Logger, perSecond int) *Log {
	return &Log{to: to, perSecond: perSecond, now: time.Now}
}

// Lines are those of one request. A nil *Lines writes nothing.
type Lines struct {
	log *Log

	mu sync.Mutex
	// through says that the lines are written as they come.
	through bool
	held    [][]any
}

// Request returns the lines of a new request. They are written as they come while
// there is room, and else held until it is known whether it failed.
func (l *Log) Request() *Lines {
	return &Lines{log: l, through: l.room(1, goodPart)}
}

// Info writes or holds one line.
func (ln *Lines) Info(keyvals ...any) {
	if ln == nil {
		return
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.through {
		ln.log.write(keyvals)
		return
	}
	if len(ln.held) < maxHeld {
		ln.held = append(ln.held, keyvals)
	}
}

// End says how the request ended. What was held is written if it failed and
// there is room, and else counted as dropped. Lines that come later are written.
func (ln *Lines) End(failed bool) {
	if ln == nil {
		return
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.through {
		return
	}
	ln.through = true
	if failed && ln.log.room(len(ln.held), 1) {
		for _, keyvals := range ln.held {
			ln.log.write(keyvals)
		}
	} else {
		ln.log.drop(len(ln.held))
	}
	ln.held = nil
}

// room tells whether n more lines fit into a part of this second's.
func (l *Log) room(n int, part float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn()
	return l.perSecond <= 0 || float64(l.used+n) <= part*float64(l.perSecond)
}

// turn begins a new second and tells of what the last ones dropped. The lock is
// held.
func (l *Log) turn() {
	second := l.now().Unix()
	if second == l.second {
		return
	}
	l.second, l.used = second, 0
	if l.dropped == 0 {
		return
	}
	_ = level.Warn(l.to).Log("event", "request_lines_dropped", "requests", l.requests, "lines", l.dropped,
		"reason", "over the lines a second that the settings allow")
	l.dropped, l.requests = 0, 0
}

func (l *Log) drop(lines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped += lines
	l.requests++
}

func (l *Log) write(keyvals []any) {
	l.mu.Lock()
	l.turn()
	l.used++
	l.mu.Unlock()
	_ = level.Info(l.to).Log(keyvals...)
}
