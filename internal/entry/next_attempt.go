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
	// isAlone is set if the request runs alone or may run once more only, so that no attempt may be sent beside another.
	isAlone bool

	mu sync.Mutex
	// tried holds the targets of earlier attempts, target that of the current one.
	tried  []string
	target string
	// left is how many attempts the request may still have, withheld how many were not sent in place of this one.
	left, withheld int
	// askAgain is when the retry budget may be asked again.
	askAgain time.Time
	// paid is set once the retry budget has paid for the attempt.
	paid bool
	// isOver is set once the current attempt has ended.
	isOver bool
}

// newNextAttempt returns the attempt after the one that g grants.
func (s *Server) newNextAttempt(j *job, g grant) *nextAttempt {
	n := &nextAttempt{
		s: s, j: j, target: g.route.target, tried: slices.Clone(j.tried),
		isAlone: j.suspect || j.retryGranted != "" || g.endTurn != nil,
	}
	if !j.nonIdempotent {
		n.left = j.attemptLimit() - (j.attempts - j.withheld)
	}
	return n
}

// mayReplace reports whether the current attempt may end. The request must be allowed another attempt. An answer that
// has not begun needs no more: at worst its caller gets a failure and sends the request again. One that has begun
// needs a target and a retry, which is taken here.
func (n *nextAttempt) mayReplace() bool {
	if !n.isAllowed() {
		return false
	}
	if !n.j.hasAnswerPart() {
		return true
	}
	if _, hasTarget := n.excluded(); !hasTarget || !n.maySend() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.paid || n.isOver || now.Before(n.askAgain) {
		return n.paid
	}
	n.askAgain = now.Add(retryAskPause)
	n.paid = n.s.takeRetry(n.j)
	return n.paid
}

// isAllowed reports whether the request may be sent once more.
func (n *nextAttempt) isAllowed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.left > 0
}

// maySend reports whether this entry may send the request now: it has a lease, and no crashes are attributed to the
// request.
func (n *nextAttempt) maySend() bool {
	return n.s.mayDispatch() == nil && len(n.s.refusedCauses(time.Now(), n.j)) == 0
}

// maySendBeside reports whether the request may be sent while another attempt of it runs.
func (n *nextAttempt) maySendBeside() bool {
	isSuspect := n.s.mayIsolate(n.j) && n.s.suspectOf(n.j).IsSuspected()
	return !n.isAlone && !isSuspect
}

// excluded returns the targets that the attempt is not sent to, and whether there is another one. If there is none that
// the request has not been sent to, all but that of the current attempt may have recovered.
func (n *nextAttempt) excluded() (targets []string, hasOther bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	targets = append(slices.Clone(n.tried), n.target)
	if n.s.dispatcher.hasOtherTarget(n.j, targets) {
		return targets, true
	}
	n.tried = nil
	targets = []string{n.target}
	return targets, n.s.dispatcher.hasOtherTarget(n.j, targets)
}

// spend records that the attempt is sent to a target, and returns the one after it.
func (n *nextAttempt) spend(target string) *nextAttempt {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.left--
	n.paid = false
	following := &nextAttempt{s: n.s, j: n.j, left: n.left, tried: append(slices.Clone(n.tried), n.target), target: target}
	n.tried = append(n.tried, target)
	return following
}

// giveBack records that the attempt was not sent after all, so that the retry pays for another one. isWithheld is set
// if it does not count as an attempt.
func (n *nextAttempt) giveBack(isWithheld bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paid = true
	if isWithheld {
		n.left++
		n.withheld++
	}
}

// settle tells the job what was decided. The current attempt has ended.
func (n *nextAttempt) settle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isOver = true
	n.j.isNextPaid, n.j.tried = n.paid, n.tried
	n.j.withheld += n.withheld
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
	if _, _, blocked := d.picker.BlockedUntil(time.Now(), j.placementBeside(j.reserve, besides)); blocked {
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
