package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/metrics"
	"github.com/citronstep/citronstep/internal/record"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
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
type running struct {
	mu    sync.Mutex
	jobs  map[string]*job
	ended []endedJob
	bytes int
	// open counts the open jobs by workspace, and total all of them.
	open  map[string]int
	total int
}

type endedJob struct {
	key   string
	job   *job
	bytes int
	at    time.Time
}

func newRunning() *running {
	return &running{jobs: make(map[string]*job), open: make(map[string]int)}
}

// start begins the job, or returns the one that the same key began.
func (s *Server) start(j *job, run func(*job)) (*job, *failure.Error) {
	if e := s.mayAdmit(); e != nil {
		return nil, e
	}
	if s.o.Follower.Board().Suspects[j.body].Convicted() {
		return nil, convicted()
	}
	first, e := s.running.enter(j, s.limits(j.workspace))
	if e != nil {
		return nil, e
	}
	if first != j {
		_ = level.Info(s.o.Logger).Log("event", "attach", "request", j.id, "to", first.id, "reason", "same idempotency key")
		return first, nil
	}
	j.ctx, j.cancel = context.WithCancelCause(context.Background())
	deadline := time.AfterFunc(time.Until(j.deadline), func() { j.cancel(context.DeadlineExceeded) })
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		defer j.cancel(nil)
		defer deadline.Stop()
		run(j)
		s.running.leave(j)
	}()
	return j, nil
}

// limits of open requests.
type openLimits struct {
	entry, workspace int
}

func (s *Server) limits(workspace string) openLimits {
	l := openLimits{entry: s.o.Settings.MaxOpen, workspace: s.o.Settings.MaxOpen}
	if n := s.o.Follower.Board().Config.Workspaces[workspace].MaxOpen; n > 0 {
		l.workspace = n
	}
	return l
}

func (r *running) enter(j *job, l openLimits) (*job, *failure.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(time.Now())
	if first, ok := r.jobs[j.key]; ok && j.key != "" {
		if first.body != j.body {
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

// attach returns the keyed job that runs or ran here, counted in as a reader.
func (r *running) attach(key string) (*job, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[key]
	if ok {
		j.answer.attach()
	}
	return j, ok
}

// leave counts the job out. Its answer is kept for resends when it is whole;
// a failure is not, so that a resend runs anew.
func (r *running) leave(j *job) {
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
	e := endedJob{key: j.key, job: j, bytes: j.answer.size(), at: time.Now()}
	r.ended = append(r.ended, e)
	r.bytes += e.bytes
	r.forget(time.Now())
}

// counts returns the open jobs and the bytes of kept answers.
func (r *running) counts() (open, kept int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total, r.bytes
}

func (r *running) forget(now time.Time) {
	for len(r.ended) > 0 {
		first := r.ended[0]
		if len(r.ended) <= keptAnswers && r.bytes <= keptBytes && now.Sub(first.at) < keptFor {
			return
		}
		r.ended = r.ended[1:]
		r.bytes -= first.bytes
		if r.jobs[first.key] == first.job {
			delete(r.jobs, first.key)
		}
	}
}

// leave ends a caller's wait. When nobody waits any more the job is
// cancelled, unless its outcome has to be recorded for a resend.
func (s *Server) leave(j *job) {
	if j.answer.detach() > 0 || j.nonIdempotent {
		return
	}
	j.cancel(errCallersGone)
}

// claimGrace is how long past its deadline a claim waits for its outcome
// before it counts as unknown: longer than an entry takes to record one.
const claimGrace = 10 * time.Second

// claim asks a majority of the control replicas for the right to run a
// non-idempotent request that has a key.
//
// It guards against the same request running on two entries, or again after
// the entry that ran it died: the claim is synced on a majority before the
// first byte goes to a backend server, and only one claim of a key is granted.
func (s *Server) claim(j *job) *failure.Error {
	if !j.nonIdempotent || j.key == "" {
		return nil
	}
	now := time.Now()
	defer func() { s.o.Metrics.Claim(time.Since(now)) }()
	out, err := s.commitRecord(j.ctx, record.Command{Claim: &record.Claim{
		Key: j.key, Body: j.body, Entry: s.o.ID, Attempt: j.id,
		DeadlineMillis: j.deadline.Add(claimGrace).UnixMilli(), NowMillis: now.UnixMilli(),
	}})
	if err != nil {
		// Nothing was dispatched under this claim, whether it was written or
		// not; but an earlier send of the same key may have been.
		go s.abandonClaim(j)
		return failure.New(failure.TypeUnavailable, "the request could not be claimed: "+err.Error()).
			WithRan(failure.RanUnknown).WithRetryAfter(time.Second)
	}
	_ = level.Info(s.o.Logger).Log("event", "claim", "request", j.id, "granted", out.Granted, "state", out.State, "holder", out.Entry)
	return s.answerClaim(j, out)
}

func (s *Server) answerClaim(j *job, out record.Outcome) *failure.Error {
	switch {
	case out.Granted:
		j.claimed = true
		return nil
	case out.Full:
		return failure.New(failure.TypeOverloaded, "no room for another at-most-once record").
			WithRan(failure.RanNo).WithRetryAfter(staleRetryAfter)
	case out.Reused:
		return failure.New(failure.TypeKeyReused, "the idempotency key belongs to another request").WithRan(failure.RanNo)
	case out.State == record.Claimed:
		return failure.New(failure.TypeInProgress, "the request runs on another entry").
			WithRan(failure.RanUnknown).WithRetryAfter(time.Second)
	case out.State == record.Unknown:
		return failure.New(failure.TypeOutcomeUnknown, "the request was dispatched and its outcome is unknown").
			WithRan(failure.RanUnknown)
	case out.Answer == nil:
		return failure.New(failure.TypeOutcomeUnknown, "the request ran; its answer is no longer kept").
			WithRan(failure.RanYes)
	}
	return s.replay(j, *out.Answer)
}

// replay gives the recorded answer.
func (s *Server) replay(j *job, a record.Answer) *failure.Error {
	if j.service != nil {
		j.service.replay(a)
		j.answer.end("")
		return errReplayed
	}
	var kept keptAnswer
	if err := json.Unmarshal(a.Body, &kept); err != nil {
		return failure.New(failure.TypeInternal, "recorded answer: "+err.Error()).WithRan(failure.RanYes)
	}
	for _, t := range kept.Tokens {
		j.answer.append(t)
	}
	j.answer.end(kept.Finish)
	return errReplayed
}

// errReplayed tells run that the answer has been given from the record.
var errReplayed = failure.New(failure.TypeInternal, "answered from the record")

// keptAnswer is a completion's recorded answer.
type keptAnswer struct {
	Tokens []string `json:"tokens"`
	Finish string   `json:"finish"`
}

// recordTries bounds how often an outcome is written; the claim's grace
// passes meanwhile.
const recordTries = 5

// finish ends the job with an answer or a failure. The outcome of a claimed
// request is recorded before any caller gets it, so that a resend after a
// lost answer finds it.
func (s *Server) finish(j *job, e *failure.Error, mayHaveRun bool) {
	if e == errReplayed {
		return
	}
	if j.claimed {
		s.settle(j, e, mayHaveRun)
	}
	go s.release(j, e == nil, e != nil && e.Ran != failure.RanNo)
	s.meter(j, e)
	if e != nil {
		c := *e
		c.RequestID = j.id
		j.answer.fail(&c)
		_ = level.Info(s.o.Logger).Log("event", "refuse", "request", j.id, "type", c.Type, "ran", c.Ran, "reason", c.Message)
		return
	}
	j.answer.end(j.finish)
}

// meter records the request's final answer.
func (s *Server) meter(j *job, e *failure.Error) {
	r := metrics.Request{
		Workspace: j.workspace, Class: j.class, Outcome: metrics.Answered, Queued: j.queued,
		FirstToken: j.firstToken, Whole: time.Since(j.arrived), Tokens: j.answer.length(),
	}
	if e != nil {
		r.Outcome, r.Ran = string(e.Type), string(e.Ran)
	}
	s.o.Metrics.Request(r)
}

// settle records what became of a claim.
func (s *Server) settle(j *job, e *failure.Error, mayHaveRun bool) {
	if e != nil && !mayHaveRun {
		s.abandonClaim(j)
		return
	}
	f := &record.Finish{Key: j.key, Attempt: j.id}
	if e == nil {
		f.Answer = s.recordedAnswer(j)
	}
	for range recordTries {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		f.NowMillis = time.Now().UnixMilli()
		_, err := s.commitRecord(ctx, record.Command{Finish: f})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(recordPause)
	}
}

// Times of writing an outcome.
const (
	recordTimeout = 2 * time.Second
	recordPause   = 200 * time.Millisecond
)

func (s *Server) recordedAnswer(j *job) *record.Answer {
	if j.service != nil {
		return j.service.recorded()
	}
	p, _ := j.answer.wait(context.Background(), 0)
	body, err := json.Marshal(keptAnswer{Tokens: p.tokens, Finish: j.finish})
	if err != nil {
		return nil
	}
	return &record.Answer{Status: http.StatusOK, Body: body}
}

// abandonClaim gives back a claim under which surely nothing was sent.
func (s *Server) abandonClaim(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	// If this fails, the record becomes Unknown at its deadline, which is
	// less than the truth but never false.
	_, _ = s.commitRecord(ctx, record.Command{Abandon: &record.Abandon{Key: j.key, Attempt: j.id}})
}

func (s *Server) commitRecord(ctx context.Context, c record.Command) (record.Outcome, error) {
	var out record.Outcome
	encoded, err := record.Encode(c)
	if err != nil {
		return out, errors.Trace(err)
	}
	result, err := s.o.Control.Commit(ctx, &noderpc.CommitRequest{
		ClusterId: s.o.Follower.Board().ClusterID,
		Machine:   noderpc.Machine_MACHINE_RECORDS,
		Command:   encoded,
	})
	if err != nil {
		return out, errors.Trace(err)
	}
	return out, errors.Trace(json.Unmarshal(result, &out))
}
