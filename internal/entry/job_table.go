package entry

import (
	"context"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
)

// Limits of the answers that an entry keeps for resends.
const (
	// keptAnswers and keptBytes bound the answers of idempotent requests that
	// carry a key.
	keptAnswers = 4096
	keptBytes   = 64 << 20
	// keptFor is how long such an answer is kept.
	keptFor = 2 * time.Minute
)

// running are the keyed jobs of this entry, and those that ended a while ago.
type jobTable struct {
	mu    sync.Mutex
	jobs  map[string]*job
	kept  []keptJob
	bytes int
	// open counts the open jobs by workspace, and total all of them.
	open  map[string]int
	total int
}

type keptJob struct {
	key   string
	job   *job
	bytes int
	at    time.Time
}

func newJobTable() *jobTable {
	return &jobTable{jobs: make(map[string]*job), open: make(map[string]int)}
}

// start begins the job, or returns the one that the same key began.
func (s *Server) start(j *job, run func(*job)) (*job, *failure.Error) {
	if e := s.mayAdmit(); e != nil {
		return nil, e
	}
	if s.o.Follower.Board().Suspects[j.fingerprint].Convicted() {
		return nil, crashRefusal()
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
	deadline := time.AfterFunc(time.Until(j.deadline), func() { j.cancel(context.DeadlineExceeded) })
	go func() {
		defer s.work.Done()
		defer j.cancel(nil)
		defer deadline.Stop()
		run(j)
		s.jobs.end(j)
	}()
	return j, nil
}

// beginJob counts the job in under the gate, so that a drain that has begun
// to wait sees no job begin.
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
	return first, e
}

// limits of open requests.
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
			return nil, failure.New(failure.TypeKeyReused, "the idempotency key belongs to another request").WithRan(failure.RanNo)
		}
		first.answer.attach()
		return first, nil
	}
	if r.total >= l.entry || r.open[j.workspace] >= l.workspace {
		return nil, failure.New(failure.TypeOverloaded, "too many open requests").
			WithRan(failure.RanNo).WithRetryAfter(time.Second)
	}
	r.total++
	r.open[j.workspace]++
	if j.key != "" {
		r.jobs[j.key] = j
	}
	j.answer.attach()
	return j, nil
}

// join returns the keyed job that runs or ran here, counted in as a reader.
func (r *jobTable) join(key string) (*job, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[key]
	if ok {
		j.answer.attach()
	}
	return j, ok
}

// end counts the job out. Its answer is kept for resends when it is whole;
// a failure is not, so that a resend runs anew.
func (r *jobTable) end(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total--
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

// strip drops what only a running job needs.
func (j *job) releaseInputs() {
	j.prompt, j.extra, j.prefix = "", nil, nil
	if j.service != nil {
		j.service.call = backend.ServiceCall{}
	}
}

// keptBytes is what a kept answer takes: its text, or a plain service's body
// and header.
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

// counts returns the open jobs and the bytes of kept answers.
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

// detach ends a caller's wait. When nobody waits any more the job is
// cancelled, unless its outcome has to be recorded for a resend.
func (s *Server) detach(j *job) {
	if j.answer.detach() > 0 || j.nonIdempotent {
		return
	}
	j.cancel(errNoCallersLeft)
}
