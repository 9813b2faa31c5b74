package control

import (
	"time"

	"github.com/citronstep/citronstep/internal/clock"
)

// steadyClock shows the wall-clock time of its start plus the time since then, so that a step of the
// wall clock does not change the order of what this process has timed.
type steadyClock struct {
	wall time.Time
	boot clock.Boot
}

func newSteadyClock() steadyClock { return steadyClock{wall: time.Now(), boot: clock.Now()} }

func (c steadyClock) now() time.Time { return c.wall.Add(clock.Now().Sub(c.boot)) }
