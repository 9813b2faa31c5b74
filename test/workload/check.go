package workload

import (
	"fmt"
	"strings"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
)

// Check compares what callers got with what backend servers ran, and returns
// every violation of what must always hold.
func Check(works []*Work, runs []standin.Run) []string {
	c := &checker{byWork: map[string][]standin.Run{}, byRequest: map[string][]standin.Run{}}
	for _, run := range runs {
		c.byWork[run.Work] = append(c.byWork[run.Work], run)
		request := requestOf(run)
		c.byRequest[request] = append(c.byRequest[request], run)
	}
	for _, w := range works {
		c.checkAnswers(w)
		c.checkAtMostOnce(w)
		c.checkNotRun(w)
		c.checkSettled(w)
	}
	return c.found
}

type checker struct {
	byWork    map[string][]standin.Run
	byRequest map[string][]standin.Run
	found     []string
}

// requestOf returns the system's id of the send that made the run: an attempt
// is named after its request and numbered.
func requestOf(run standin.Run) string {
	end := strings.LastIndexByte(run.Attempt, '.')
	if end < 0 {
		return run.Attempt
	}
	return run.Attempt[:end]
}

func (c *checker) violate(w *Work, format string, args ...any) {
	c.found = append(c.found, fmt.Sprintf("%q (key %q, non-idempotent %t, call %t): ",
		w.Name, w.Key, w.NonIdempotent, w.Call)+fmt.Sprintf(format, args...))
}

// checkAnswers: no answer is cut, doubled or crossed, none is of a run that
// did not happen, and all answers to one non-idempotent call are of one run.
func (c *checker) checkAnswers(w *Work) {
	var first *Send
	for i, s := range w.Sends {
		if !s.Reply.Whole {
			continue
		}
		if !w.right(s.Reply) {
			c.violate(w, "wrong answer on %s: %+v", s.Entry, s.Reply)
			continue
		}
		if len(c.byWork[w.identity()]) == 0 {
			c.violate(w, "answered on %s without a run", s.Entry)
		}
		if first == nil {
			first = &w.Sends[i]
		}
		if w.Call && w.NonIdempotent && string(first.Reply.Body) != string(s.Reply.Body) {
			c.violate(w, "two answers: %s and %s", first.Reply.Body, s.Reply.Body)
		}
	}
}

// checkAtMostOnce: a non-idempotent work runs at most once, whatever was
// resent.
func (c *checker) checkAtMostOnce(w *Work) {
	if runs := c.byWork[w.identity()]; w.NonIdempotent && len(runs) > 1 {
		c.violate(w, "ran %d times: %+v", len(runs), runs)
	}
}

// checkNotRun: a send that was refused as not run has no run. For
// non-idempotent work the request is what the key names, so a run of an
// earlier send counts too.
func (c *checker) checkNotRun(w *Work) {
	for _, s := range w.Sends {
		refusal := s.Reply.Refusal
		if refusal == nil || refusal.Ran != failure.RanNo {
			continue
		}
		for _, id := range []string{s.Reply.RequestID, refusal.RequestID} {
			if runs := c.byRequest[id]; id != "" && len(runs) > 0 {
				c.violate(w, "refused as not run on %s (%s), but ran: %+v", s.Entry, refusal.Error(), runs)
			}
		}
		if !w.NonIdempotent {
			continue
		}
		for _, run := range c.byWork[w.identity()] {
			if run.Started.Before(s.At) {
				c.violate(w, "refused as not run on %s (%s), but an earlier send ran: %+v", s.Entry, refusal.Error(), run)
			}
		}
	}
}

// checkSettled: a work that may be resent is answered in the end; only a
// non-idempotent one may end with an unknown outcome, and a final "unknown"
// needs a reason: a run, or an entry that was lost with its claim.
func (c *checker) checkSettled(w *Work) {
	if !w.mayResend() || len(w.Sends) == 0 {
		return
	}
	for _, s := range w.Sends {
		if s.Reply.Whole || (w.NonIdempotent && settled(s.Reply)) {
			return
		}
	}
	last := w.Sends[len(w.Sends)-1].Reply
	c.violate(w, "not settled after %d sends, the last: %+v", len(w.Sends), last)
}
