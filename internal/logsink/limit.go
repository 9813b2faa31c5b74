package logsink

import (
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Limited is a logger that writes at most so many lines a second.
//
// Load: another writer sends what can't be read, many times a second. Harm: a
// line for each takes the processor and the log from what matters. The lines that
// are dropped are counted and told of with the first of a later second.
type Limited struct {
	to        log.Logger
	perSecond int
	now       func() time.Time

	mu      sync.Mutex
	second  int64
	used    int
	dropped int
}

// Limit returns a logger that writes at most perSecond lines a second to another.
func Limit(to log.Logger, perSecond int) *Limited {
	return &Limited{to: to, perSecond: perSecond, now: time.Now}
}

// Log writes one line, or drops it.
func (l *Limited) Log(keyvals ...any) error {
	dropped, ok := l.take()
	if !ok {
		return nil
	}
	if dropped > 0 {
		keyvals = append(keyvals[:len(keyvals):len(keyvals)], "dropped_before", dropped)
	}
	return l.to.Log(keyvals...)
}

// take counts one line and tells whether there is room for it, and how many were
// dropped before it.
func (l *Limited) take() (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.second {
		l.second, l.used = second, 0
	}
	if l.used >= l.perSecond {
		l.dropped++
		return 0, false
	}
	l.used++
	dropped, l.dropped = l.dropped, 0
	return dropped, true
}
