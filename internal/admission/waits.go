package admission

import "time"

const (
	// waitStep is the part by which one request moves an estimate: some dozens of
	// requests move it from the first caller's time to what most callers give, and the
	// retries of an outage, a few for each entry, move it little.
	waitStep = 0.01
	// waitRank is the part of requests that give less than the estimate. It is low, so
	// that only those are taken for later tries that are short of what nearly all give.
	waitRank = 0.1
	// waitEvery is the least time between two requests that an estimate learns from: the
	// later tries of an outage come within two seconds and must not pass for what
	// callers give, while callers that have changed go on giving less.
	waitEvery = 250 * time.Millisecond
	// waitLeast is how many requests an estimate needs before it says anything.
	waitLeast = 30
)

// Waits learns how long the callers of each route wait when they first ask, and
// tells from what is left of that how long ago a request was first sent.
//
// After all processes have lost power, the requests of that time come back as later tries
// together with newcomers, and an entry that has just started takes all for new: what is
// late whatever is done would take the slots, and newcomers would wait behind it. A caller
// that gives less time of its own accord must not be taken for late, so the time is learned
// from the route's callers: a request counts as begun before by as much as it is short of
// what nine in ten give. An estimate is kept where it outlives the process; see Share.
type Waits struct {
	routes map[string]*waitOf
}

// waitOf is the estimate for one route.
type waitOf struct {
	// least is the time that all but waitRank of the requests give, seen how many
	// requests it is made of.
	least time.Duration
	seen  int
	// movedAt is when the estimate last learned.
	movedAt time.Time
}

// NewWaits returns Waits that knows no route.
func NewWaits() *Waits { return &Waits{routes: make(map[string]*waitOf)} }

// Asked takes in a request of a route whose caller is ready to wait for a time, and
// returns how long ago the caller surely began; 0 if it may have begun now.
func (w *Waits) Asked(now time.Time, route string, left time.Duration) time.Duration {
	e := w.routes[route]
	if e == nil {
		e = &waitOf{least: left}
		w.routes[route] = e
	}
	e.seen++
	before := time.Duration(0)
	if e.seen > waitLeast {
		before = max(0, e.least-left)
	}
	e.move(now, left)
	return before
}

// move shifts the estimate towards the quantile, by steps of a part of itself that are
// larger while little has been seen.
func (e *waitOf) move(now time.Time, left time.Duration) {
	if e.seen > waitLeast && now.Sub(e.movedAt) < waitEvery {
		return
	}
	e.movedAt = now
	step := float64(e.least) * max(waitStep, 1/float64(e.seen+waitLeast))
	if left < e.least {
		e.least -= time.Duration(step * (1 - waitRank))
		return
	}
	e.least += time.Duration(step * waitRank)
}

// Learn takes over what others have learned of a route, unless this process knows it.
func (w *Waits) Learn(route string, least time.Duration) {
	e := w.routes[route]
	if e == nil {
		e = &waitOf{}
		w.routes[route] = e
	}
	if e.seen <= waitLeast {
		e.least, e.seen = least, waitLeast+1
	}
}

const (
	// shareFrom is how many requests an estimate is made of before others are told.
	shareFrom = 2 * waitLeast
	// shareChange is the part by which what is told must differ from what is known: the
	// estimates of many entries are that far apart.
	shareChange = 0.1
)

// Share returns what others should learn of a route of which they know a time, 0 for
// none; false if there is nothing new.
func (w *Waits) Share(route string, known time.Duration) (time.Duration, bool) {
	e := w.routes[route]
	if e == nil || e.seen < shareFrom {
		return 0, false
	}
	differs := (e.least - known).Abs()
	return e.least, float64(differs) > shareChange*float64(e.least)
}
