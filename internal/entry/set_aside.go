package entry

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// outcomeOf returns the outcome of a failed call and notes whether its answer announced a length over the limit.
func (j *job) outcomeOf(err error) outcome {
	j.announcedTooLong.Store(errors.Is(err, errAnnouncedTooLong))
	return outcomeOfCallError(err)
}

// noteUnreadable completes what placement is told of an attempt with an unreadable answer. An answer that announces
// its length has an end: its server is not at fault.
func (j *job) noteUnreadable(r *placement.Result, out outcome, isEndless bool) {
	if out == outcomeUnreadable && !j.announcedTooLong.Load() {
		r.Unreadable = j.contentFingerprint()
	}
	if isEndless {
		r.Unreadable, r.Cancelled = j.contentFingerprint(), false
	}
}

// isEndless reports whether an attempt that began at a time has failed because its answer, which must be whole, kept
// arriving until the deadline. One that began late in the request's time is no evidence: a sound server may have been
// left too little.
func (j *job) isEndless(now, began time.Time, err error) bool {
	total, left := j.deadline.Sub(j.arrived), j.deadline.Sub(now)
	return errors.Is(err, backend.ErrTrickled) && left <= total/callerLeavesBefore && j.deadline.Sub(began) >= total/2
}

// callerLeavesBefore is the part of a request's time at its end in which its caller may leave because of the deadline.
const callerLeavesBefore = 20

// endAttempt records the end of an attempt in placement.
func (s *Server) endAttempt(j *job, g grant, r placement.Result) {
	change, isChanged := s.dispatcher.attemptEnded(g.attempt, r)
	if !isChanged {
		return
	}
	if change.SetAside == 0 {
		_ = level.Info(s.o.Logger).Log("event", "server_trusted_again", "server", g.route.head, "incarnation", change.Server,
			"target", g.route.target, "request", j.id)
		return
	}
	s.o.Metrics.ServerSetAside()
	_ = level.Warn(s.o.Logger).Log("event", "server_set_aside", "server", g.route.head, "incarnation", change.Server,
		"target", g.route.target, "request", j.id, "for_ms", change.SetAside.Milliseconds(),
		"reason", "its answers follow no protocol, exceed a limit or do not end")
}

// refuseBlocked refuses the waiting requests that no target takes in time any more. The caller holds the lock.
func (d *dispatcher) refuseBlocked(now time.Time) {
	for id, t := range d.waiting {
		slots, limited := d.picker.SendCapacity(now, t.job.placeBy(now), t.job.model, t.job.homes)
		if !limited || slots > 0 {
			continue
		}
		d.queue.Cancel(id)
		delete(d.waiting, id)
		t.granted <- grant{refused: d.blockedRefusal(now, t.job)}
	}
}

// setAsideRefusal refuses a request whose backend servers are all set aside for longer than the request can wait.
// One of them becomes free after the given time.
func setAsideRefusal(after time.Duration) *failure.Error {
	return failure.New(failure.TypeNoBackendServer, "the answers of all backend servers can't be read").
		WithRan(failure.RanNo).WithRetryAfter(after)
}
