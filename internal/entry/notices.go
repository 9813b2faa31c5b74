package entry

import (
	"cmp"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/clock"
)

// observeForwarded processes what a backend server states about itself in the answer to a
// forwarded request that was sent at the time sent. An answer without a valid proof may lack a
// header for any reason.
func (s *Server) observeForwarded(r route, a *backend.ForwardAnswer, sent time.Time) {
	if a.OtherServer {
		// Either the backend server heads no group any more and states that it is leaving, or it
		// has ended and another one has its address. It must not be used in either case.
		s.observeLeaving(r, a.Notice)
		return
	}
	isComplete := !a.IsOtherRequest && (a.Proven || a.NotRun)
	s.observeNotice(r, a.Notice, isComplete, sent)
}

// observeRefusal processes what a backend server states about itself in the answer to a failed
// call.
func (s *Server) observeRefusal(r route, err error, sent time.Time) {
	var call *backend.CallError
	if errors.As(err, &call) {
		s.observeNotice(r, call.Notice, call.Stage == backend.StageRefused, sent)
	}
}

// observeNotice processes what a backend server states about itself in the answer to a request
// that was sent at the time sent. isComplete is set if a statement that is missing from the
// answer is known not to have been made.
func (s *Server) observeNotice(r route, n backend.Notice, isComplete bool, sent time.Time) {
	if n.RateLimit != nil || isComplete {
		s.observeRateLimit(r, n.RateLimit, sent)
	}
	s.observeBackoff(r, n)
	s.observeLeaving(r, n)
}

// observeBackoff records that a backend server asked this entry not to send it any request.
func (s *Server) observeBackoff(r route, n backend.Notice) {
	if n.InvalidRetryAfter != "" {
		_ = level.Info(s.o.Logger).Log("event", "retry_after_invalid", "server", r.head, "incarnation", r.incarnation,
			"value", clip(n.InvalidRetryAfter))
	}
	if n.RetryAfter <= 0 {
		return
	}
	s.o.Metrics.BackoffRequested()
	now := time.Now()
	extended := s.dispatcher.recordBackoff(now, r.incarnation, now.Add(n.RetryAfter))
	_ = level.Info(s.o.Logger).Log("event", "backoff_requested", "server", r.head, "incarnation", r.incarnation,
		"target", r.target, "retry_after_ms", n.RetryAfter.Milliseconds(), "extended", extended)
}

// observeLeaving records that a backend server is about to stop.
func (s *Server) observeLeaving(r route, n backend.Notice) {
	if !n.IsLeaving || !s.leavingServers.add(time.Now(), r.incarnation) {
		return
	}
	s.o.Metrics.ServerLeaving()
	_ = level.Info(s.o.Logger).Log("event", "server_leaving", "server", r.head, "incarnation", r.incarnation, "target", r.target)
	s.wakeRouteLoop()
}

// maxLoggedHeader bounds the part of a header that a log line quotes, in bytes.
const maxLoggedHeader = 64

func clip(text string) string { return text[:min(len(text), maxLoggedHeader)] }

// permit returns the check whether a request may still be sent to the target that it was granted.
//
// Failure: the third crash of a request is counted while its next attempt waits for a connection, and it
// crashes a fourth backend server.
func (s *Server) permit(j *job, r route) backend.Permit {
	return func() bool { return s.withholdReason(j, r) == "" }
}

// withholdReason returns why a request must not be sent to the target that it was granted, or "".
func (s *Server) withholdReason(j *job, r route) string {
	switch {
	case r.closesAt != 0 && clock.Now() >= r.closesAt:
		return "evacuated"
	case s.dispatcher.isBackedOff(time.Now(), r.incarnation):
		return "backoff"
	case s.leavingServers.contains(r.incarnation):
		return "leaving"
	}
	if len(s.refusedCauses(time.Now(), j)) > 0 {
		return "crashes"
	}
	return ""
}

// noteWithheld records an attempt that was not sent.
func (s *Server) noteWithheld(j *job, g grant) {
	j.withheld++
	reason := cmp.Or(s.withholdReason(j, g.route), "passed")
	s.o.Metrics.AttemptWithheld(reason)
	j.lines.Info("event", "attempt_withheld", "request", j.id, "attempt", g.attempt, "server", g.route.head, "reason", reason)
}
