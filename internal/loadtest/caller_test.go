package loadtest

import (
	"fmt"
	"math"
	"time"
)

// class is a request class with the sizes of its requests. prompt and output are ranges in
// tokens.
type class struct {
	name           string
	worth          float64
	deadline       time.Duration
	prompt, output [2]int
}

var (
	lookup  = &class{"lookup", 9, 5 * time.Second, [2]int{200, 800}, [2]int{20, 60}}
	summary = &class{"summary", 3, 20 * time.Second, [2]int{1000, 3000}, [2]int{100, 300}}
	draft   = &class{"draft", 1, 60 * time.Second, [2]int{4000, 12000}, [2]int{400, 800}}
	classes = []*class{lookup, summary, draft}
)

// job is the work that a caller wants done; it may take several requests.
type job struct {
	id             int
	class          *class
	workspace      string
	doc            int
	prompt, output int
	// expected is the size in tokens that is known in advance. The caller states the longest
	// output that it accepts, not the actual one.
	expected          int
	issued            time.Duration
	deadline          time.Duration
	honoursRetryAfter bool
	requestCount      int
	refusals          int
	firstToken        time.Duration
	answered          time.Duration
	// cost is the engine time of the answer at full batches.
	cost time.Duration
}

// sharedPrompt returns the part of the prompt that all prompts on the document have in common.
func (j *job) sharedPrompt() int { return j.prompt * 3 / 4 }

func (j *job) isInTime() bool { return j.answered > 0 && j.answered <= j.deadline }

// request is one request of a job, as a caller sends it.
type request struct {
	id         string
	job        *job
	frontend   frontend
	deadline   time.Duration
	isOver     bool
	isAnswered bool
	attempts   []*attempt
	engine     string
	queueID    string
	offered    time.Duration
	exclude    []string
}

// frontend is an entry: the tested one or a baseline.
type frontend interface {
	offer(req *request)
	// cancel is called once when the caller of req has disconnected.
	cancel(req *request)
}

// callers issues jobs in an open loop and resends refused ones.
type callers struct {
	c         *clock
	scenario  *scenario
	rate      float64
	frontends []frontend
	jobs      []*job
	requests  []*request
}

func (w *callers) start() { w.c.after(w.interarrival(), w.arrive) }

// interarrival draws the time to the next arrival of a Poisson process.
func (w *callers) interarrival() time.Duration {
	perSecond := w.rate * w.scenario.load(w.c.now)
	seconds := -math.Log(1-w.c.rng.Float64()) / perSecond
	return time.Duration(seconds * float64(time.Second))
}

func (w *callers) arrive() {
	if w.c.now >= w.scenario.duration() {
		return
	}
	w.send(w.newJob())
	w.c.after(w.interarrival(), w.arrive)
}

func (w *callers) newJob() *job {
	cl := w.scenario.class(w.c)
	j := &job{id: len(w.jobs), class: cl, issued: w.c.now, deadline: w.c.now + cl.deadline}
	j.workspace = w.scenario.workspace(w.c)
	j.doc = w.scenario.doc(w.c)
	j.prompt = w.c.between(cl.prompt[0], cl.prompt[1])
	maxOutput := w.c.between(cl.output[0], cl.output[1])
	j.output = w.c.between(maxOutput*6/10, maxOutput)
	j.expected = j.prompt + maxOutput
	j.honoursRetryAfter = w.c.rng.Float64() < w.scenario.honouring
	w.jobs = append(w.jobs, j)
	return j
}

func (w *callers) send(j *job) {
	j.requestCount++
	deadline := j.deadline
	if w.scenario.endless && w.c.now+j.class.deadline > deadline {
		deadline = w.c.now + j.class.deadline
	}
	req := &request{id: fmt.Sprintf("j%d.%d", j.id, j.requestCount), job: j, deadline: deadline, offered: w.c.now}
	req.frontend = w.frontends[w.c.rng.IntN(len(w.frontends))]
	w.requests = append(w.requests, req)
	w.c.after(deadline-w.c.now, func() { w.timeout(req) })
	req.frontend.offer(req)
}

func (w *callers) timeout(req *request) {
	if req.isOver {
		return
	}
	req.isOver = true
	req.frontend.cancel(req)
	w.resend(req.job, 0)
}

// refused ends a request that did not run.
func (w *callers) refused(req *request, after time.Duration) {
	if req.isOver {
		return
	}
	req.isOver = true
	req.job.refusals++
	if !req.job.honoursRetryAfter || after <= 0 {
		after = time.Duration(w.c.between(100, 300)) * time.Millisecond
	}
	w.resend(req.job, after)
}

func (w *callers) resend(j *job, after time.Duration) {
	if w.c.now+after >= j.deadline && !w.scenario.endless {
		return
	}
	if w.c.now+after >= w.scenario.duration() {
		return
	}
	w.c.after(after, func() { w.send(j) })
}

func (w *callers) token(req *request) {
	if req.job.firstToken == 0 && !req.isOver {
		req.job.firstToken = w.c.now
	}
}

func (w *callers) answer(req *request) {
	if req.isOver {
		return
	}
	req.isOver = true
	req.isAnswered = true
	req.job.answered = w.c.now
}
