package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

// errRefusedCause ends the wait of a job for whose prompt crashes have come to be held.
const errRefusedCause = errors.ConstError("a part of the prompt crashes backend servers")

// waitingParts holds the jobs that wait for admission by the parts of their prompts.
//
// Failure: under load a request waits until its deadline although it is known that it can't be sent, and takes
// the place in the queue of one that can.
type waitingParts struct {
	mu   sync.Mutex
	jobs map[string]map[*job]bool
}

func newWaitingParts() *waitingParts { return &waitingParts{jobs: make(map[string]map[*job]bool)} }

func (w *waitingParts) add(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, part := range j.sharedParts {
		if w.jobs[part.fingerprint] == nil {
			w.jobs[part.fingerprint] = make(map[*job]bool)
		}
		w.jobs[part.fingerprint][j] = true
	}
}

func (w *waitingParts) remove(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, part := range j.sharedParts {
		delete(w.jobs[part.fingerprint], j)
		if len(w.jobs[part.fingerprint]) == 0 {
			delete(w.jobs, part.fingerprint)
		}
	}
}

// waiting returns the jobs that wait with a part.
func (w *waitingParts) waiting(fingerprint string) []*job {
	w.mu.Lock()
	defer w.mu.Unlock()
	var jobs []*job
	for j := range w.jobs[fingerprint] {
		jobs = append(jobs, j)
	}
	return jobs
}

// admitUnlessRefused admits a job, or refuses it as soon as a part of its prompt is.
func (s *Server) admitUnlessRefused(j *job) (grant, *failure.Error) {
	if len(j.sharedParts) == 0 {
		return s.admit(j)
	}
	s.waitingParts.add(j)
	g, e := s.admit(j)
	s.waitingParts.remove(j)
	if e == nil || !errors.Is(context.Cause(j.ctx), errRefusedCause) {
		return g, e
	}
	if refused := s.checkCrashes(j); refused != nil {
		return g, refused.WithRan(failure.RanNo)
	}
	return g, e
}

// refuseWaiting ends the wait of the jobs with a part, once its grace is over.
func (s *Server) refuseWaiting(fingerprint string) {
	for _, j := range s.waitingParts.waiting(fingerprint) {
		suspect := s.suspects()[fingerprint]
		if s.isRefused(time.Now(), j, suspect) {
			j.cancel(errRefusedCause)
		}
	}
}

// refuseWaitingAfterGrace refuses the waiting jobs with parts that crashes have come to be attributed to.
func (s *Server) refuseWaitingAfterGrace(parts []blackboard.Suspect) {
	for _, part := range parts {
		s.refuseWaiting(part.Fingerprint)
		time.AfterFunc(partGraceLength, func() { s.refuseWaiting(part.Fingerprint) })
	}
}
