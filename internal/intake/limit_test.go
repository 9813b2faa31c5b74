package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// flood is a process that serves each connection for length and is kept from its processor while more than bears are
// in use.
type flood struct {
	limiter
	now    time.Time
	length time.Duration
	bears  int
	ends   []time.Time
	// accepted and most count the connections accepted, and the most that were in use.
	accepted, most int
}

// offer offers count connections, evenly, in one window.
func (f *flood) offer(count int) {
	for range count {
		f.now = f.now.Add(window / time.Duration(count))
		for len(f.ends) > 0 && !f.ends[0].After(f.now) {
			f.ends = f.ends[1:]
		}
		if f.accept(f.now, len(f.ends)) {
			f.accepted++
			f.ends = append(f.ends, f.now.Add(f.length))
			f.most = max(f.most, len(f.ends))
		}
	}
	delay := time.Millisecond
	if len(f.ends) > f.bears {
		delay = 2 * overloadDelay
	}
	f.endWindow(delay, len(f.ends))
}

func newFlood(length time.Duration, bears int) *flood {
	return &flood{now: time.Unix(0, 0), length: length, bears: bears}
}

// Guards against a flooded entry that reads more than it bears, or far less, however many connections come.
func TestConnectionsInUseStayNearWhatTheProcessBears(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		length time.Duration
		bears  int
	}{{"short requests", 50 * time.Millisecond, 40}, {"streams", 500 * time.Millisecond, 150}, {"long streams", 4 * time.Second, 600}} {
		bearable := float64(c.bears) * float64(window) / float64(c.length)
		for _, times := range []float64{2, 4, 16} {
			f := newFlood(c.length, c.bears)
			for range 200 {
				f.offer(int(bearable * times))
			}
			f.accepted, f.most = 0, 0
			const windows = 400
			for range windows {
				f.offer(int(bearable * times))
			}
			share := float64(f.accepted) / (bearable * windows)
			t.Logf("%s, %.0f times: %.2f of what it bears, %d in use at most", c.name, times, share, f.most)
			assert.Check(t, share > 0.5, "%s, %.0f times: %.2f", c.name, times, share)
			assert.Check(t, f.most < 2*c.bears, "%s, %.0f times: %d in use", c.name, times, f.most)
		}
	}
}

// Guards against connections that are refused because the process was paused, or had work for a moment.
func TestPausesSetNoLimit(t *testing.T) {
	t.Parallel()
	var l limiter
	for n := range 100 {
		delay := time.Duration(0)
		if n%2 == 0 {
			delay = time.Second
		}
		l.endWindow(delay, 200)
	}
	assert.Equal(t, l.limit, 0)
}

// Guards against refusals for a lack of processor time that a few connections can't have made.
func TestFewConnectionsSetNoLimit(t *testing.T) {
	t.Parallel()
	var l limiter
	for range 100 {
		l.endWindow(time.Second, minLimit)
	}
	assert.Equal(t, l.limit, 0)
}

// Guards against an entry that accepts nothing for seconds and is taken for lost.
func TestLimitedEntryAcceptsSomeConnections(t *testing.T) {
	t.Parallel()
	l := limiter{limit: 20}
	now, accepted := time.Unix(100, 0), 0
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		if l.accept(now, 1000) {
			accepted++
		}
	}
	assert.Equal(t, accepted, int(4*time.Second/minInterval))
}

// Guards against a limit that stays when the flood is over.
func TestLimitEndsAfterTheFlood(t *testing.T) {
	t.Parallel()
	f := newFlood(500*time.Millisecond, 150)
	for range 100 {
		f.offer(100)
	}
	assert.Assert(t, f.limit > 0)
	accepted := f.accepted
	for range 2 * endWindows {
		f.offer(2)
	}
	assert.Equal(t, f.limit, 0)
	assert.Equal(t, f.accepted-accepted, 2*2*endWindows)
}
