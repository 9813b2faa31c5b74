package workload

import (
	"fmt"
	"strings"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
)

// Check compares the replies that callers received with the runs on the backend servers, and
// returns all violations of the system's guarantees.
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
	return c.violations
}

type checker struct {
	byWork     map[string][]standin.Run
	byRequest  map[string][]standin.Run
	violations []string
}

// requestOf returns the system's id of the send that caused the run. An attempt is named after
// its request, followed by a number.
func requestOf(run standin.Run) string {
	end := strings.LastIndexByte(run.Attempt, '.')
	if end < 0 {
		return run.Attempt
	}
	return run.Attempt[:end]
}

func (c *checker) addViolation(w *Work, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%q (key %q, non-idempotent %t, call %t): ",
		w.Name, w.Key, w.NonIdempotent, w.IsServiceCall)+fmt.Sprintf(format, args...))
}

// checkAnswers checks that no answer is truncated, duplicated or of another work, that no answer
// lacks a run, and that all answers to one non-idempotent call are of one run.
func (c *checker) checkAnswers(w *Work) {
	var first *Send
	for i, s := range w.Sends {
		if !s.Reply.Whole {
			continue
		}
		if !w.isCorrect(s.Reply) {
			c.addViolation(w, "wrong answer from %s: %+v", s.Entry, s.Reply)
			continue
		}
		if len(c.byWork[w.identity()]) == 0 {
			c.addViolation(w, "answer from %s without a run", s.Entry)
		}
		if first == nil {
			first = &w.Sends[i]
		}
		if w.IsServiceCall && w.NonIdempotent && string(first.Reply.Body) != string(s.Reply.Body) {
			c.addViolation(w, "two different answers: %s and %s", first.Reply.Body, s.Reply.Body)
		}
	}
}

// checkAtMostOnce checks that a non-idempotent work runs at most once, however often it is sent.
func (c *checker) checkAtMostOnce(w *Work) {
	if runs := c.byWork[w.identity()]; w.NonIdempotent && len(runs) > 1 {
		c.addViolation(w, "ran %d times: %+v", len(runs), runs)
	}
}

// checkNotRun checks that a send that was refused as not run has no run. For non-idempotent work,
// the key identifies the request, so a run of an earlier send is a violation too.
func (c *checker) checkNotRun(w *Work) {
	for _, s := range w.Sends {
		refusal := s.Reply.Refusal
		if refusal == nil || refusal.Ran != failure.RanNo {
			continue
		}
		for _, id := range []string{s.Reply.RequestID, refusal.RequestID} {
			if runs := c.byRequest[id]; id != "" && len(runs) > 0 {
				c.addViolation(w, "refused as not run by %s (%s), but ran: %+v", s.Entry, refusal.Error(), runs)
			}
		}
		if !w.NonIdempotent {
			continue
		}
		for _, run := range c.byWork[w.identity()] {
			if run.Started.Before(s.At) {
				c.addViolation(w, "refused as not run by %s (%s), but an earlier send ran: %+v", s.Entry, refusal.Error(), run)
			}
		}
	}
}

// checkSettled checks that a work that may be resent is answered in the end. Only a
// non-idempotent work may end with an unknown outcome. The cause of such an outcome, a run or an
// entry that was lost with its claim, is not checked.
func (c *checker) checkSettled(w *Work) {
	if !w.mayResend() || len(w.Sends) == 0 {
		return
	}
	for _, s := range w.Sends {
		if s.Reply.Whole || (w.NonIdempotent && isSettled(s.Reply)) {
			return
		}
	}
	last := w.Sends[len(w.Sends)-1].Reply
	c.addViolation(w, "not settled after %d sends, last reply: %+v", len(w.Sends), last)
}
