package admission

import "time"

const (
	// gateHigh and gateLow are parts of the objective: above the one, on average,
	// fewer requests are let through, below the other more. A sample counts for
	// gateSample at most. So the gate closes while most first events are late by far: it
	// does not for one group in four that is slow or lost, nor for groups that are
	// well loaded. With 0.9 for gateHigh the models of long prompts, whose first events
	// are late one time in two, were held back all day: a class of theirs earned 0.48 in
	// place of 0.55, and of 0.60 without a gate.
	gateHigh   = 1.2
	gateLow    = 0.9
	gateSample = 2
	// gateStale is how long the last first event may lie back before a gate opens: what
	// an entry that gets a request in some seconds has seen says nothing of now.
	gateStale = 1500 * time.Millisecond
	// gateWeight is the weight of a new sample: an entry has a few a second.
	gateWeight = 0.3
	// gateCut is the factor of a cut, and gateSettle how long it must at least show
	// before the next, which also waits until twice the time of a request has
	// passed.
	gateCut    = 0.7
	gateSettle = 150 * time.Millisecond
	// gateLeast is the smallest window: a request goes out and a pause of the
	// same length follows.
	gateLeast = 0.5
	// gateOpenFrom is a window that no entry fills while its requests are on time;
	// a window that has grown past it becomes gateOpen, which holds nothing back.
	gateOpenFrom = 64
	gateOpen     = 1 << 16
)

// Gate bounds the requests of one model that an entry has sent and that have not
// begun to be answered.
//
// Load: more arrives for seconds than the groups begin in the same time. Harm of
// sending all on: they wait in the engines' own queues, first come, first served, and
// each is answered, each too late. With the surplus waiting here, newest first, most are on time, and
// those passed over still follow before their deadline once there is room. The
// window follows what it is for, the time to the first event as a part of the objective,
// since no entry sees what the others have sent.
type Gate struct {
	window float64
	// pressure is the mean time to the first event, as a part of the objective.
	pressure float64
	unbegun  int
	settle   time.Time
	// beganAt is when a request last began.
	beganAt time.Time
	// pauseUntil is when the next request may be sent while the window is below
	// one: many entries share few groups, and one request of each is too much.
	pauseUntil time.Time
}

// NewGate returns a gate that holds nothing back.
func NewGate() *Gate { return &Gate{window: gateOpen} }

// Room tells whether a further request may be sent.
func (g *Gate) Room(now time.Time) bool {
	if g.Limiting() && now.Sub(g.beganAt) > gateStale {
		*g = Gate{window: gateOpen, unbegun: g.unbegun}
	}
	if g.window < 1 {
		return g.unbegun == 0 && !now.Before(g.pauseUntil)
	}
	return float64(g.unbegun) < g.window
}

// Limiting tells whether the gate holds requests back at present loads.
func (g *Gate) Limiting() bool { return g.window < gateOpen }

const (
	// firstLeast and firstMost bound Expected: with too little, requests count as on
	// time that have no chance, with too much none does.
	firstLeast = 0.3
	firstMost  = 0.9
)

// Expected is the part of the objective that a request spends at a group until its
// first event, as seen of late.
func (g *Gate) Expected() float64 { return min(max(g.pressure, firstLeast), firstMost) }

// Idle tells whether no request is between its sending and its first event.
func (g *Gate) Idle() bool { return g.unbegun == 0 }

// Sent notes a request that was sent.
func (g *Gate) Sent() { g.unbegun++ }

// Ended notes one that ended before it began.
func (g *Gate) Ended() { g.unbegun-- }

// Began notes the first event of a request, after took against its objective.
func (g *Gate) Began(now time.Time, took, objective time.Duration) {
	full := float64(g.unbegun) >= g.window-1
	g.beganAt = now
	g.unbegun--
	g.pressure += gateWeight * (min(took.Seconds()/objective.Seconds(), gateSample) - g.pressure)
	switch {
	case g.pressure > gateHigh && now.After(g.settle):
		g.settle = now.Add(max(gateSettle, 2*took))
		g.window = max(gateLeast, gateCut*min(g.window, float64(g.unbegun+1)))
	case g.pressure < gateLow && g.window < gateOpen:
		g.grow(full)
	}
	if g.window < 1 {
		g.pauseUntil = now.Add(time.Duration(float64(took) * (1/g.window - 1)))
	}
}

// grow widens the window by one for each window of requests, as long as it is
// used, and opens it once it is not.
func (g *Gate) grow(full bool) {
	if full && g.window >= 1 {
		g.window += 1 / g.window
		return
	}
	g.window *= 1 + gateWeight
	if g.window > gateOpenFrom {
		g.window = gateOpen
	}
}
