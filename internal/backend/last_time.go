package backend

import (
	"sync/atomic"
	"time"
)

// processStart is the origin of lastTime. It has a monotonic reading, so that a step of the clock
// changes no comparison.
var processStart = time.Now()

// lastTime is the time of the last event of some kind. It is safe for concurrent use; the zero
// value is none.
type lastTime struct{ sinceStart atomic.Int64 }

func (l *lastTime) set(t time.Time) { l.sinceStart.Store(int64(t.Sub(processStart))) }

// get returns the time; the zero time if there is none.
func (l *lastTime) get() time.Time {
	since := l.sinceStart.Load()
	if since == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(since))
}
