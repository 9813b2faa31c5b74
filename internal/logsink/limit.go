package logsink

import (
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Limited is a logger that writes a limited number of lines per second.
//
// A peer that sends malformed messages many times a second would otherwise cause one line for
// each, which takes processor time and hides other lines. Limited counts the dropped lines and
// reports the count with the first line of a later second.
type Limited struct {
	next      log.Logger
	perSecond int
	now       func() time.Time

	mu            sync.Mutex
	currentSecond int64
	used          int
	dropped       int
}

// Limit returns a logger that writes at most perSecond lines per second to next.
func Limit(next log.Logger, perSecond int) *Limited {
	return &Limited{next: next, perSecond: perSecond, now: time.Now}
}

// Log writes one line, or drops it if the limit of this second is reached.
func (l *Limited) Log(keyvals ...any) error {
	dropped, ok := l.reserve()
	if !ok {
		return nil
	}
	if dropped > 0 {
		keyvals = append(keyvals[:len(keyvals):len(keyvals)], "dropped_before", dropped)
	}
	return l.next.Log(keyvals...)
}

// reserve counts one line. It reports whether the line may be written and how many lines were
// dropped since the last written one.
func (l *Limited) reserve() (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.currentSecond {
		l.currentSecond, l.used = second, 0
	}
	if l.used >= l.perSecond {
		l.dropped++
		return 0, false
	}
	l.used++
	dropped, l.dropped = l.dropped, 0
	return dropped, true
}
