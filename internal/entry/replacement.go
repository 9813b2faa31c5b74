package entry

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// errTakenOver is returned for an event of an attempt whose place another one has taken.
const errTakenOver = errors.ConstError("another attempt has taken over")

// handover decides which of two attempts of a forwarded request passes events on. An attempt whose answer has begun
// goes on until another one has been accepted by its backend server. An event before that shows that it need not end.
//
// Failure: a backend server pauses for a moment. Its attempt ends, the server of the next one is full and refuses it,
// no attempt is left, and an answer is cut that its server goes on with.
type handover struct {
	mu sync.Mutex
	// current is the attempt whose answer is passed on; nil between two.
	current *forwardAttempt
	// next is the attempt that is to take its place; nil if there is none. isAccepted is set once its server has
	// begun to answer; nothing of current is passed on from then on.
	next       *forwardAttempt
	isAccepted bool
}

// begin makes an attempt the current one.
func (h *handover) begin(a *forwardAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = a
}

// isCurrent reports whether an attempt is the current one.
func (h *handover) isCurrent(a *forwardAttempt) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current == a
}

// advance decides about an event of the current attempt: it returns errTakenOver if another attempt passes events on
// instead, and isNew if the caller has not received the event yet. An attempt that is being opened is dropped.
func (f *forwarding) advance(e event) (isNew bool, err error) {
	h := &f.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isAccepted {
		return false, errTakenOver
	}
	h.dropNext()
	if !e.numbered {
		return true, nil
	}
	if f.resume && e.id <= f.last {
		return false, nil
	}
	f.resume, f.last = true, e.id
	return true, nil
}

// dropNext ends the attempt that is to take over. The caller holds the lock.
func (h *handover) dropNext() {
	if h.next == nil {
		return
	}
	h.next.isDropped = true
	h.next.w.cancel(nil)
	h.next, h.isAccepted = nil, false
}

// mayEnd reports whether an attempt that makes no progress may end. One whose answer the caller has begun to receive
// may once another one has taken over. At the deadline the job ends, and with it the attempt: its server has not stalled.
func (s *Server) mayEnd(j *job, a *forwardAttempt) bool {
	switch {
	case !time.Now().Before(j.deadline):
		return false
	case !j.forward.handover.isCurrent(a):
		return true
	case !j.hasBegun():
		return a.next.mayReplace()
	}
	if !a.replacing.TryLock() {
		return false
	}
	defer a.replacing.Unlock()
	return a.next.maySendBeside() && a.next.mayReplace() && s.replace(j, a)
}

// replace opens another attempt in place of the current one and reports whether it takes over.
func (s *Server) replace(j *job, a *forwardAttempt) bool {
	next := s.beginReplacement(j, a)
	if next == nil {
		return false
	}
	s.open(j, next)
	if s.acceptReplacement(j, a, next) {
		j.lines.Info("event", "attempt_replaced", "request", j.id, "attempt", a.grant.attempt, "by", next.grant.attempt)
		return true
	}
	j.lines.Info("event", "attempt_kept", "request", j.id, "attempt", a.grant.attempt, "instead_of", next.grant.attempt)
	s.endUnused(j, next)
	return false
}

// beginReplacement returns an attempt that is to take the place of the current one, or nil if there is no target or
// the current one has ended.
func (s *Server) beginReplacement(j *job, a *forwardAttempt) *forwardAttempt {
	h := &j.forward.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != a || a.w.ctx.Err() != nil {
		return nil
	}
	excluded, _ := a.next.excluded()
	g, ok := s.dispatcher.pickBeside(time.Now(), j, excluded)
	if !ok {
		return nil
	}
	h.next = s.newForwardAttempt(j, g, a.next.spend(g.route.target))
	h.next.sent = s.newSendRecord(j)
	return h.next
}

// acceptReplacement reports whether an attempt that has been opened takes the place of the current one, or has
// taken it already.
func (s *Server) acceptReplacement(j *job, a, next *forwardAttempt) bool {
	h := &j.forward.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case next.isTaken:
		return true
	case next.isDropped:
		return false
	case next.answer == nil:
		h.next = nil
		if next.outcome == outcomeWithheld || next.outcome == outcomeNotStarted {
			a.next.giveBack(next.outcome == outcomeWithheld)
		}
		return false
	}
	h.isAccepted = true
	a.w.isReplaced.Store(true)
	return true
}

// settle ends the current attempt's part in the handover. If the attempt has failed, the one that is to take its place
// becomes the job's next.
func (s *Server) settle(j *job, a *forwardAttempt, out outcome) {
	isNeeded := out != outcomeComplete && out != outcomeJobEnded
	next, isUnused := j.forward.handover.end(isNeeded)
	if next == nil {
		// A decision that has just begun ends, so that no retry is lost.
		a.replacing.Lock()
		defer a.replacing.Unlock()
	}
	a.next.settle()
	switch {
	case isUnused:
		s.endUnused(j, next)
	case next != nil && isNeeded:
		j.replacement = next
	}
}

// end ends the current attempt. It returns the one that was to take its place, which becomes the current one if it is
// needed. isUnused is set if the caller must end it, as it had been accepted.
func (h *handover) end(isNeeded bool) (next *forwardAttempt, isUnused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, isUnused = h.next, h.isAccepted && !isNeeded
	h.current = nil
	if !isNeeded {
		h.dropNext()
		return next, isUnused
	}
	if next != nil {
		next.isTaken = true
	}
	h.current, h.next, h.isAccepted = next, nil, false
	return next, isUnused
}

// dropReplacement ends the attempt that was to follow a job's last one.
func (s *Server) dropReplacement(j *job) {
	a := j.replacement
	if a == nil {
		return
	}
	j.replacement = nil
	a.w.cancel(nil)
	<-a.opened
	s.settle(j, a, outcomeJobEnded)
	a.outcome, a.failure = outcomeJobEnded, nil
	s.endUnused(j, a)
}

// endUnused ends an attempt that was opened in place of another one and does not take over.
func (s *Server) endUnused(j *job, a *forwardAttempt) {
	a.close()
	out, e := a.outcome, a.failure
	if a.isDropped || a.answer != nil {
		out, e = outcomeJobEnded, nil
	}
	s.o.Metrics.Attempt(out.name(e))
	s.endForwardAttempt(j, a, out, e, placement.Result{Tokens: 1, Cancelled: out == outcomeJobEnded || out == outcomeWithheld})
	s.observeUnused(j, a, out, e)
}

// observeUnused takes in what the end of an unused attempt tells about crashes.
func (s *Server) observeUnused(j *job, a *forwardAttempt, out outcome, e *failure.Error) {
	switch {
	case out == outcomeCut:
		s.observeCut(j, a.grant.route, false, a.began)
	case out == outcomeInvalid, out == outcomeUnreadable:
		s.observeEnded(j, a.grant.route, false, a.began, true)
	case out == outcomeJobEnded, isStalled(e):
		s.observeEnded(j, a.grant.route, false, a.began, false)
	}
}

// nextGrant returns the grant of a further attempt: that of one that has been sent already, or a new one.
func (s *Server) nextGrant(j *job) (grant, *failure.Error) {
	if j.replacement != nil {
		return j.replacement.grant, nil
	}
	return s.dispatcher.nextTarget(j, j.nextTargetBy(time.Now()))
}

// pickBeside picks a target for a further attempt of a job beside some.
func (d *dispatcher) pickBeside(now time.Time, j *job, besides []string) (grant, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pick(now, j, j.placementBeside(j.reserve, besides))
}
