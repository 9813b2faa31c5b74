package admission

import "time"

const (
	// The window shrinks while the mean time to the first event is above gateShrinkAbove of the
	// objective, and grows while the mean is below gateGrowBelow. A sample counts for at most
	// gateMaxSample of the objective.
	//
	// With these values, the gate limits requests only while most first events are far too late.
	// One slow or lost group in four does not make it limit them, and neither do well loaded
	// groups. With gateShrinkAbove at 0.9, a gate limits models with long prompts, of whose first
	// events one in two is late, all the time, and their classes earn less than without a gate.
	gateShrinkAbove = 1.2
	gateGrowBelow   = 0.9
	gateMaxSample   = 2
	// gateStaleAfter is the age of the last first event after which a limiting gate opens. At an
	// entry that gets one request in several seconds, old samples say nothing about the present
	// load.
	gateStaleAfter = 1500 * time.Millisecond
	// gateSmoothing is the weight of a new sample. An entry gets a few samples a second.
	gateSmoothing = 0.3
	// gateCutFactor is the factor by which a cut shrinks the window. gateMinCutInterval is the
	// least time between two cuts, so that the first one can take effect. The next cut also waits
	// for twice the time that the request took to its first event.
	gateCutFactor      = 0.7
	gateMinCutInterval = 150 * time.Millisecond
	// gateMinWindow is the smallest window. At this window, each request is followed by a pause
	// as long as its time to the first event.
	gateMinWindow = 0.5
	// gateOpenAbove is a window that no entry fills while its requests are on time. A window that
	// grows past it becomes gateUnlimited, which limits nothing.
	gateOpenAbove = 64
	gateUnlimited = 1 << 16
)

// Gate limits the requests of one model that an entry has sent and that have not had their first
// event. It is an adaptive concurrency limit.
//
// Gate is made for an overload in which, for seconds, more requests arrive than the groups can
// begin. If an entry sent all of them at once, they would wait in the engines' own queues, first
// come, first served, and each would be answered too late. With the surplus waiting in the entry
// and served newest first, most requests are on time. The requests passed over still follow
// before their deadline once there is capacity.
//
// The window follows the time to the first event as a fraction of the objective, because no entry
// sees what the other entries have sent.
type Gate struct {
	window float64
	// firstEventRatio is the smoothed time to the first event as a fraction of the objective.
	firstEventRatio float64
	// pending is the number of requests sent that have not had their first event.
	pending int
	// nextCut is the earliest time of the next cut of the window.
	nextCut time.Time
	// lastFirstEvent is the time of the latest first event.
	lastFirstEvent time.Time
	// pauseUntil is the earliest time of the next request while the window is below one. Many
	// entries may share few groups, and then one request from each entry at a time is too much.
	pauseUntil time.Time
}

// NewGate returns a gate that limits nothing.
func NewGate() *Gate { return &Gate{window: gateUnlimited} }

// HasCapacity reports whether another request may be sent. It opens a limiting gate whose last
// sample is older than gateStaleAfter.
func (g *Gate) HasCapacity(now time.Time) bool {
	if g.Limiting() && now.Sub(g.lastFirstEvent) > gateStaleAfter {
		*g = Gate{window: gateUnlimited, pending: g.pending}
	}
	if g.window < 1 {
		return g.pending == 0 && !now.Before(g.pauseUntil)
	}
	return float64(g.pending) < g.window
}

// Limiting reports whether the gate has a limited window.
func (g *Gate) Limiting() bool { return g.window < gateUnlimited }

const (
	// minExpected and maxExpected bound ExpectedFirstEventRatio. With a lower value, requests that
	// have no chance would count as on time; with a higher value, no request would.
	minExpected = 0.3
	maxExpected = 0.9
)

// ExpectedFirstEventRatio returns the fraction of the objective that a request spends at a group
// until its first event, estimated from recent requests.
func (g *Gate) ExpectedFirstEventRatio() float64 {
	return min(max(g.firstEventRatio, minExpected), maxExpected)
}

// HasNonePending reports whether no request is between its sending and its first event.
func (g *Gate) HasNonePending() bool { return g.pending == 0 }

// Sent records that a request was sent.
func (g *Gate) Sent() { g.pending++ }

// EndedBeforeFirstEvent records that a request ended before its first event.
func (g *Gate) EndedBeforeFirstEvent() { g.pending-- }

// FirstEvent records the first event of a request. elapsed is the time since the request was sent.
func (g *Gate) FirstEvent(now time.Time, elapsed, objective time.Duration) {
	inUse := float64(g.pending) >= g.window-1
	g.lastFirstEvent = now
	g.pending--
	g.firstEventRatio += gateSmoothing * (min(elapsed.Seconds()/objective.Seconds(), gateMaxSample) - g.firstEventRatio)
	switch {
	case g.firstEventRatio > gateShrinkAbove && now.After(g.nextCut):
		g.nextCut = now.Add(max(gateMinCutInterval, 2*elapsed))
		g.window = max(gateMinWindow, gateCutFactor*min(g.window, float64(g.pending+1)))
	case g.firstEventRatio < gateGrowBelow && g.window < gateUnlimited:
		g.grow(inUse)
	}
	if g.window < 1 {
		g.pauseUntil = now.Add(time.Duration(float64(elapsed) * (1/g.window - 1)))
	}
}

// grow widens the window by one for each window of requests while the window is in use. A window
// that is not in use, or is below one, grows by a factor and becomes unlimited above
// gateOpenAbove.
func (g *Gate) grow(inUse bool) {
	if inUse && g.window >= 1 {
		g.window += 1 / g.window
		return
	}
	g.window *= 1 + gateSmoothing
	if g.window > gateOpenAbove {
		g.window = gateUnlimited
	}
}
