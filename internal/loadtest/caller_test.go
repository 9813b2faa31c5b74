package loadtest

import (
	"fmt"
	"math"
	"time"
)

// class is a request class and the work its callers ask for.
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

// job is what a caller wants; it may take several tries.
type job struct {
	id             int
	class          *class
	workspace      string
	doc            int
	prompt, output int
	// expected is the work in tokens that is known before: the caller states
	// the most output it takes, not what comes.
	expected   int
	issued     time.Duration
	deadline   time.Duration
	honours    bool
	tries      int
	refused    int
	firstToken time.Duration
	answered   time.Duration
	// cost is the engine time of the answer at full batches.
	cost time.Duration
}

// shared is the part of the prompt that all prompts on the document have.
func (j *job) shared() int { return j.prompt * 3 / 4 }

func (j *job) inTime() bool { return j.answered > 0 && j.answered <= j.deadline }

// try is one request of a job.
type try struct {
	id       string
	job      *job
	frontend frontend
	deadline time.Duration
	over     bool
	answered bool
	calls    []*call
	engine   string
	queueID  string
	offered  time.Duration
	exclude  []string
}

// frontend is one entry, under test or baseline.
type frontend interface {
	offer(t *try)
	// cancel is called once when the caller of t is gone.
	cancel(t *try)
}

// callers issues jobs in an open loop and sends refused ones again.
type callers struct {
	c         *clock
	scenario  *scenario
	rate      float64
	frontends []frontend
	jobs      []*job
	tries     []*try
}

func (w *callers) start() { w.c.after(w.gap(), w.arrive) }

// gap draws the time to the next arrival of a Poisson process.
func (w *callers) gap() time.Duration {
	perSecond := w.rate * w.scenario.load(w.c.now)
	seconds := -math.Log(1-w.c.rng.Float64()) / perSecond
	return time.Duration(seconds * float64(time.Second))
}

func (w *callers) arrive() {
	if w.c.now >= w.scenario.duration() {
		return
	}
	w.send(w.newJob())
	w.c.after(w.gap(), w.arrive)
}

func (w *callers) newJob() *job {
	cl := w.scenario.class(w.c)
	j := &job{id: len(w.jobs), class: cl, issued: w.c.now, deadline: w.c.now + cl.deadline}
	j.workspace = w.scenario.workspace(w.c)
	j.doc = w.scenario.doc(w.c)
	j.prompt = w.c.between(cl.prompt[0], cl.prompt[1])
	most := w.c.between(cl.output[0], cl.output[1])
	j.output = w.c.between(most*6/10, most)
	j.expected = j.prompt + most
	j.honours = w.c.rng.Float64() < w.scenario.honouring
	w.jobs = append(w.jobs, j)
	return j
}

func (w *callers) send(j *job) {
	j.tries++
	deadline := j.deadline
	if w.scenario.endless && w.c.now+j.class.deadline > deadline {
		deadline = w.c.now + j.class.deadline
	}
	t := &try{id: fmt.Sprintf("j%d.%d", j.id, j.tries), job: j, deadline: deadline, offered: w.c.now}
	t.frontend = w.frontends[w.c.rng.IntN(len(w.frontends))]
	w.tries = append(w.tries, t)
	w.c.after(deadline-w.c.now, func() { w.timeout(t) })
	t.frontend.offer(t)
}

func (w *callers) timeout(t *try) {
	if t.over {
		return
	}
	t.over = true
	t.frontend.cancel(t)
	w.again(t.job, 0)
}

// refused ends a try that did not run.
func (w *callers) refused(t *try, after time.Duration) {
	if t.over {
		return
	}
	t.over = true
	t.job.refused++
	if !t.job.honours || after <= 0 {
		after = time.Duration(w.c.between(100, 300)) * time.Millisecond
	}
	w.again(t.job, after)
}

func (w *callers) again(j *job, after time.Duration) {
	if w.c.now+after >= j.deadline && !w.scenario.endless {
		return
	}
	if w.c.now+after >= w.scenario.duration() {
		return
	}
	w.c.after(after, func() { w.send(j) })
}

func (w *callers) token(t *try) {
	if t.job.firstToken == 0 && !t.over {
		t.job.firstToken = w.c.now
	}
}

func (w *callers) answer(t *try) {
	if t.over {
		return
	}
	t.over = true
	t.answered = true
	t.job.answered = w.c.now
}
