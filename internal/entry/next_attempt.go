package entry

import (
	"slices"
	"sync"
	"time"
)

// retryAskPause is how long an attempt that got no retry waits before it asks again, as other entries may be asked.
const retryAskPause = time.Second

// nextAttempt decides whether an attempt that makes no progress may end, because another one can take its place.
//
// Load: backend servers stop sending for a second, all at once if the network or the VMs of a data centre stand still.
// Harm of ending their attempts: the retry budget pays for a part of the further attempts, and all other answers are
// cut, although their servers go on with them. An attempt that stays costs its caller no more than the wait.
type nextAttempt struct {
	s *Server
	j *job
	// target is the target of the current attempt, tried holds those of earlier ones.
	target string
	tried  []string
	// isAllowed is set if the request may be sent once more.
	isAllowed bool

	mu sync.Mutex
	// askAgain is when the retry budget may be asked again.
	askAgain time.Time
	// paid is set once the retry budget has paid for the attempt.
	paid bool
}

// newNextAttempt returns the attempt after the one that g grants.
func (s *Server) newNextAttempt(j *job, g grant) *nextAttempt {
	return &nextAttempt{
		s: s, j: j, target: g.route.target, tried: slices.Clone(j.tried),
		isAllowed: !j.nonIdempotent && j.attempts-j.withheld < j.attemptLimit(),
	}
}

// mayReplace reports whether the current attempt may end. The request must be allowed another attempt. An answer that
// has not begun needs no more: at worst its caller gets a failure and sends the request again. One that has begun
// needs a target and a retry, which is taken here.
func (n *nextAttempt) mayReplace() bool {
	if !n.isAllowed {
		return false
	}
	if !n.j.hasBegun() {
		return true
	}
	if n.s.mayDispatch() != nil || !n.s.dispatcher.hasOtherTarget(n.j, append(slices.Clone(n.tried), n.target)) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.paid || now.Before(n.askAgain) {
		return n.paid
	}
	n.askAgain = now.Add(retryAskPause)
	n.paid = n.s.takeRetry(n.j)
	return n.paid
}

// isPaid reports whether the retry budget has paid for the attempt.
func (n *nextAttempt) isPaid() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paid
}

// hasUntriedTarget reports whether a job has a target besides those of its attempts so far, free or not.
func (d *dispatcher) hasUntriedTarget(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.routes {
		if r.pool == j.model && allowsRegion(j.homes, r.region) && id != j.lastTarget && !slices.Contains(j.tried, id) {
			return true
		}
	}
	return false
}

// hasOtherTarget reports whether there is a target for a job besides some that has not asked for no request.
func (d *dispatcher) hasOtherTarget(j *job, besides []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := j.placementRequest(j.reserve)
	r.Exclude = besides
	if _, _, blocked := d.picker.BlockedUntil(time.Now(), r); blocked {
		return false
	}
	for id, r := range d.routes {
		isHome := j.homes == nil || slices.Contains(j.homes, r.region)
		if r.pool == j.model && isHome && !slices.Contains(besides, id) {
			return true
		}
	}
	return false
}
