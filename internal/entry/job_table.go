package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
)

// Limits of the answers that an entry keeps for resends.
const (
	// keptAnswers and keptBytes limit the number and the total size of kept answers, which are
	// those of idempotent requests with a key.
	keptAnswers = 4096
	keptBytes   = 64 << 20
	// keptFor is how long such an answer is kept.
	keptFor = 2 * time.Minute
)

// jobTable holds the keyed jobs of this entry, running or ended recently, and counts the open
// jobs.
type jobTable struct {
	mu    sync.Mutex
	jobs  map[string]*job
	kept  []keptJob
	bytes int
	// open counts the open jobs by workspace, total counts all of them.
	open  map[string]int
	total int
	// unfinished holds the open jobs.
	unfinished map[*job]bool
}

type keptJob struct {
	key   string
	job   *job
	bytes int
	at    time.Time
}

func newJobTable() *jobTable {
	return &jobTable{jobs: make(map[string]*job), open: make(map[string]int), unfinished: make(map[*job]bool)}
}

// start begins the job, or returns the job that the same key began earlier.
func (s *Server) start(j *job, run func(*job)) (*job, *failure.Error) {
	if e := s.mayAdmit(); e != nil {
		return nil, e
	}
	if e := s.checkCrashes(j); e != nil {
		return nil, e
	}
	j.ctx, j.cancel = context.WithCancelCause(context.Background())
	first, e := s.beginJob(j)
	if e != nil {
		j.cancel(nil)
		return nil, e
	}
	if first != j {
		j.cancel(nil)
		j.lines.Info("event", "attach", "request", j.id, "to", first.id, "reason", "same idempotency key")
		j.lines.End(false)
		return first, nil
	}
	stop := j.cancelAtDeadline()
	go func() {
		defer s.work.Done()
		defer j.cancel(nil)
		defer stop()
		run(j)
		s.jobs.end(j)
	}()
	return j, nil
}

// beginJob counts the job under drainMu, so that no job begins after a drain has started to
// wait for the running ones.
func (s *Server) beginJob(j *job) (*job, *failure.Error) {
	s.drainMu.RLock()
	defer s.drainMu.RUnlock()
	if e := s.mayAdmit(); e != nil {
		return nil, e
	}
	s.callerReport.noteRequest(j.arrived)
	first, e := s.jobs.begin(j, s.openLimitsOf(j.workspace))
	if e == nil && first == j {
		s.work.Add(1)
	}
	s.countDemand(j, first, e)
	return first, e
}

// openLimits are the limits of open requests.
type openLimits struct {
	entry, workspace int
}

func (s *Server) openLimitsOf(workspace string) openLimits {
	l := openLimits{entry: s.o.Settings.MaxOpen, workspace: s.o.Settings.MaxOpen}
	if n := s.o.Follower.Board().Config.Workspaces[workspace].MaxOpen; n > 0 {
		l.workspace = n
	}
	return l
}

func (r *jobTable) begin(j *job, l openLimits) (*job, *failure.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictOld(time.Now())
	if first, ok := r.jobs[j.key]; ok && j.key != "" {
		if first.fingerprint != j.fingerprint {
			return nil, failure.New(failure.TypeIdempotencyKeyReused, "the idempotency key belongs to another request").WithRan(failure.RanNo)
		}
		first.answer.attach()
		return first, nil
	}
	if r.total >= l.entry || r.open[j.workspace] >= l.workspace {
		return nil, failure.New(failure.TypeOverloaded, "too many open requests").
			WithRan(failure.RanNo).WithRetryAfter(time.Second)
	}
	r.total++
	r.unfinished[j] = true
	r.open[j.workspace]++
	if j.key != "" {
		r.jobs[j.key] = j
	}
	j.answer.attach()
	return j, nil
}

// running returns the open jobs.
func (r *jobTable) running() []*job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.unfinished))
}

// join returns the keyed job that runs or ran here, with the caller added as a reader.
func (r *jobTable) join(key string) (*job, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[key]
	if ok {
		j.answer.attach()
	}
	return j, ok
}

// end removes the job from the open ones. A complete answer is kept for resends. A failure is
// not kept, so that a resend runs again.
func (r *jobTable) end(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total--
	delete(r.unfinished, j)
	r.open[j.workspace]--
	if r.open[j.workspace] == 0 {
		delete(r.open, j.workspace)
	}
	if j.key == "" {
		return
	}
	p, _ := j.answer.wait(context.Background(), 0)
	if !p.done || p.failed != nil {
		delete(r.jobs, j.key)
		return
	}
	j.releaseInputs()
	e := keptJob{key: j.key, job: j, bytes: j.keptBytes(), at: time.Now()}
	r.kept = append(r.kept, e)
	r.bytes += e.bytes
	r.evictOld(time.Now())
}

// releaseInputs drops the data that only a running job needs.
func (j *job) releaseInputs() {
	j.prompt, j.extra, j.prefix = "", nil, nil
	if j.service != nil {
		j.service.call = backend.ServiceCall{}
	}
}

// keptBytes returns the size of a kept answer: its text, or a plain service's body and header.
func (j *job) keptBytes() int {
	n := j.answer.size()
	if j.service == nil {
		return n
	}
	for name, values := range j.service.header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n + len(j.service.body)
}

// counts returns the number of open jobs and the total size of kept answers, in bytes.
func (r *jobTable) counts() (open, kept int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total, r.bytes
}

func (r *jobTable) evictOld(now time.Time) {
	for len(r.kept) > 0 {
		first := r.kept[0]
		if len(r.kept) <= keptAnswers && r.bytes <= keptBytes && now.Sub(first.at) < keptFor {
			return
		}
		r.kept = r.kept[1:]
		r.bytes -= first.bytes
		if r.jobs[first.key] == first.job {
			delete(r.jobs, first.key)
		}
	}
}

// detach ends a caller's wait. If no caller is left, the job is cancelled, unless its outcome
// has to be recorded for a resend.
func (s *Server) detach(j *job) {
	if j.answer.detach() > 0 || j.nonIdempotent {
		return
	}
	j.cancel(errNoCallersLeft)
}
