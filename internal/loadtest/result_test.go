package loadtest

import (
	"slices"
	"time"
)

// classResult holds the results of the callers of one class.
type classResult struct {
	jobs, inTime int
	firstToken   []time.Duration
	seconds      [maxSeconds]second
}

func (r *classResult) inTimeFraction() float64 {
	if r.jobs == 0 {
		return 1
	}
	return float64(r.inTime) / float64(r.jobs)
}

// quantile returns a quantile of the time to first token of the answered jobs.
func (r *classResult) quantile(q float64) time.Duration {
	if len(r.firstToken) == 0 {
		return 0
	}
	slices.Sort(r.firstToken)
	return r.firstToken[int(q*float64(len(r.firstToken)-1))]
}

// result sums up the runs of one policy in one scenario.
type result struct {
	classes [3]classResult
	all     classResult
	// refusals counts refused requests.
	requests, refusals int
	// spent is the engine time of all attempts. wasted is the part of the attempts whose caller
	// got no answer in time from them.
	spent, wasted time.Duration
	// useful is the engine time that the answers in time cost at full batches. An answer is
	// counted when it is given. counted is the time over which answers are counted.
	useful             time.Duration
	counted            time.Duration
	starts, inversions int
	// queued is the sum of the lengths of the engines' own queues at all reports.
	queued, reports int
	// promptTokens counts the prompt tokens of all attempts; computed counts those that were not
	// found in a prefix cache.
	promptTokens, computed int
}

func (r *result) add(w *simulation) {
	end := w.s.duration()
	r.counted += end - warmUp
	for _, j := range w.callers.jobs {
		if j.answered >= warmUp && j.answered <= end && j.isInTime() {
			r.useful += j.cost
		}
		if j.issued < warmUp || j.issued > end-5*time.Second {
			continue
		}
		r.addJob(j)
	}
	for _, req := range w.callers.requests {
		r.addAttempts(req)
	}
	for _, e := range w.engines {
		r.queued += e.queued
		r.reports += e.reports
	}
	for _, n := range w.nodes {
		if e, ok := n.(*entry); ok {
			r.starts += e.starts
			r.inversions += e.inversions
		}
	}
}

func (r *result) addJob(j *job) {
	of := &r.classes[slices.Index(classes, j.class)]
	for _, c := range []*classResult{of, &r.all} {
		at := &c.seconds[int(j.issued/time.Second)]
		c.jobs++
		at.jobs++
		if j.isInTime() {
			c.inTime++
			at.inTime++
		}
		if j.answered > 0 {
			c.firstToken = append(c.firstToken, j.firstToken-j.issued)
		}
	}
	r.requests += j.requestCount
	r.refusals += j.refusals
}

func (r *result) addAttempts(req *request) {
	for i, x := range req.attempts {
		r.spent += x.spent
		r.promptTokens += req.job.prompt
		r.computed += x.computed
		last := i == len(req.attempts)-1
		if !last || !req.job.isInTime() || req.job.answered > req.deadline || !req.isAnswered {
			r.wasted += x.spent
		}
	}
}

// maxSeconds bounds the length of a run.
const maxSeconds = 200

// second counts the jobs issued in one second of all runs.
type second struct{ jobs, inTime int }

// recovery returns how long after the end of an outage callers were still affected: until the end
// of the last second in which fewer than 95% of the new jobs of r were answered in time.
func (r *classResult) recovery(end time.Duration) time.Duration {
	const least = 0.95
	from := faultAt + outage
	last := from
	for i := int(from / time.Second); i < int(end/time.Second)-5; i++ {
		if float64(r.seconds[i].inTime) < least*float64(r.seconds[i].jobs) {
			last = time.Duration(i+1) * time.Second
		}
	}
	return last - from
}

// served returns the mix of the jobs that were answered in time. A policy that prefers cheap jobs
// is compared with the capacity for this mix.
func (r *result) served() [3]float64 {
	var mix [3]float64
	for i, c := range r.classes {
		mix[i] = float64(c.inTime) / float64(max(1, r.all.inTime))
	}
	return mix
}

// overload is a rate of jobs a second above the capacity for any mix. Ten groups can serve about
// 250 lookups a second if there are no other jobs.
const overload = 400

// capacities caches the results of capacity by mix.
var capacities = make(map[[3]float64][2]float64)

// capacity measures the engine time a second and the jobs a second that the engines complete when
// they are never idle. It runs least outstanding without deadlines and with unbounded queues.
func capacity(mix [3]float64) (costPerSecond, jobsPerSecond float64) {
	if cached, ok := capacities[mix]; ok {
		return cached[0], cached[1]
	}
	defer func() { capacities[mix] = [2]float64{costPerSecond, jobsPerSecond} }()
	unlimited := make([]*class, len(classes))
	for i, cl := range classes {
		c := *cl
		c.deadline = time.Hour
		unlimited[i] = &c
	}
	saved := classes
	classes = unlimited
	defer func() { classes = saved }()
	s := &scenario{mix: mix, large: 0.4, load: steady(1)}
	w := run(s, policies[2], 1, overload)
	cost, jobs := time.Duration(0), 0
	for _, j := range w.callers.jobs {
		if j.answered >= 30*time.Second && j.answered <= s.duration() {
			cost += j.cost
			jobs++
		}
	}
	seconds := (s.duration() - 30*time.Second).Seconds()
	return cost.Seconds() / seconds, float64(jobs) / seconds
}
