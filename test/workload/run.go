package workload

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// Options configures a random run.
type Options struct {
	Seed uint64
	// Duration is how long faults and new works go on.
	Duration time.Duration
	Callers  int
	// ConcurrentFaults is the number of faults and planned stops that go on at the same time, each on
	// its own processes; 0 means one.
	ConcurrentFaults int
	// Groups is the number of serving groups; 0 means three.
	Groups int
	// RateLimits makes backend servers state rate limits in addition to the faults.
	RateLimits bool
	// BrokenAnswers makes backend servers send answers that follow no protocol in addition to the faults.
	BrokenAnswers bool
	// Backoffs makes backend servers refuse requests and ask for back-offs in addition to the
	// faults.
	Backoffs bool
	// Crashes makes callers resend requests that crash each backend server that runs them, in
	// addition to the faults.
	Crashes bool
}

func (o Options) withDefaults() Options {
	if o.ConcurrentFaults == 0 {
		o.ConcurrentFaults = 1
	}
	if o.Groups == 0 {
		o.Groups = defaultGroups
	}
	return o
}

// Report holds the results of a random run.
type Report struct {
	Works      int
	Sends      int
	Complete   int
	NotRun     int
	Unknown    int
	Unanswered int
	Runs       int
	Faults     []string
	Violations []string
	// Unreadable counts the attempts whose answers nodes found unreadable, by their logs.
	Unreadable int
	// RateLimitsRecorded counts the rate limits that nodes recorded in their logs.
	RateLimitsRecorded int
	// BackoffsRecorded counts the back-offs that nodes recorded in their logs, and BackoffsChecked
	// those that the checker found in the logs and counted arrivals for.
	BackoffsRecorded, BackoffsChecked int
	// CrashingSends counts the sends of such requests, Crashes the crashes by them.
	CrashingSends, Crashes int
}

// The size of the system in a random run.
const (
	defaultGroups = 3
	vmsPerReplica = 2
	instances     = 2
)

// Run starts a system, drives it and checks the results. A process that violates one of its own
// invariants ends, and Run finds the violation in its log.
func Run(t harness.T, o Options) Report {
	o = o.withDefaults()
	c := harness.NewCluster(t, spec())
	c.Found(blackboard.GroupSpec{
		Name: "memos", Model: model, Replicas: o.Groups, VMsPerReplica: vmsPerReplica, Worth: 10,
	})
	engines := c.StartEngines(o.Groups*vmsPerReplica+1, "vm", "d1", "-token-interval", "5ms", "-load-time", "200ms", "-group-timeout", "1s")
	var services []*harness.Standin
	for _, id := range []string{"records-1", "records-2"}[:instances] {
		services = append(services, c.StartService(id, service, "-call-time", "10ms"))
	}
	c.AwaitGroups(model, o.Groups)
	c.AwaitReady()

	injectors := newFaultInjectors(t, c, engines, services, o)
	callers := &callers{cluster: c, seed: o.Seed, count: o.Callers}
	servers := append(append([]*harness.Standin(nil), engines...), services...)
	var others []injector
	if o.RateLimits {
		others = append(others, newRateLimitInjector(o.Seed, servers))
	}
	if o.BrokenAnswers {
		others = append(others, newBrokenAnswerInjector(o.Seed, servers))
	}
	if o.Backoffs {
		others = append(others, newBackoffInjector(o.Seed, servers))
	}
	crashing := newCrashingCaller(c, o.Seed, servers)
	if o.Crashes {
		others = append(others, crashing)
	}
	drive(injectors, others, callers, o.Duration, func() {
		if o.Backoffs {
			awaitBackoff(t, c, servers)
		}
	})
	runs := c.Runs()
	report := summarise(callers.works, runs, injectors)
	for _, n := range c.Nodes {
		report.RateLimitsRecorded += strings.Count(n.Log(), "event=rate_limit_named")
		report.Unreadable += strings.Count(n.Log(), "follow HTTP")
	}
	report.Violations = append(Check(callers.works, runs), findPanics(c)...)
	if o.Backoffs {
		backoffs := newBackoffChecker(c, callers.works)
		report.Violations = append(report.Violations, backoffs.check(servers)...)
		report.BackoffsRecorded, report.BackoffsChecked = backoffs.recorded, backoffs.checked
	}
	if o.Crashes {
		report.Violations = append(report.Violations, crashing.check(runs, disturbances(injectors))...)
		report.Violations = append(report.Violations, findBlamed(c, callers.works)...)
		report.CrashingSends, report.Crashes = crashing.sends, crashing.crashes
	}
	return report
}

// injector changes what backend servers state about themselves until the context ends.
type injector interface{ run(context.Context) }

// drive runs callers and faults for the duration, ends all faults, calls healed, and waits until the
// callers have settled the works that they have begun.
func drive(injectors []*faultInjector, others []injector, callers *callers, duration time.Duration, healed func()) {
	stop := make(chan struct{})
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer close(done)
		callers.run(ctx, stop)
	}()
	faultsCtx, endFaults := context.WithTimeout(ctx, duration)
	defer endFaults()
	var all sync.WaitGroup
	for _, f := range injectors {
		all.Go(func() { f.run(faultsCtx) })
	}
	for _, i := range others {
		all.Go(func() { i.run(faultsCtx) })
	}
	all.Wait()
	for _, f := range injectors {
		f.heal()
	}
	healed()
	close(stop)
	settle := time.AfterFunc(settleTimeout, cancel)
	defer settle.Stop()
	<-done
}

func spec() harness.ClusterSpec {
	s := harness.Standard()
	s.Adjust = func(s *settings.Settings) {
		s.Entry.HeaderTimeoutMillis = 500
		s.Entry.FirstTokenTimeoutMillis = 1500
		s.Entry.TokenGapMillis = 700
		s.Entry.BalancerMillis = 300
	}
	return s
}

func summarise(works []*Work, runs []standin.Run, injectors []*faultInjector) Report {
	r := Report{Works: len(works), Runs: len(runs)}
	for _, f := range injectors {
		r.Faults = append(r.Faults, f.Log...)
	}
	for _, w := range works {
		for _, s := range w.Sends {
			r.Sends++
			switch {
			case s.Reply.Whole:
				r.Complete++
			case s.Reply.Refusal == nil:
				r.Unanswered++
			case s.Reply.Refusal.Ran == "no":
				r.NotRun++
			default:
				r.Unknown++
			}
		}
	}
	return r
}

// findPanics returns the panics and data races in the logs of the nodes. A violated invariant
// appears as a panic.
func findPanics(c *harness.Cluster) []string {
	var out []string
	for _, n := range c.Nodes {
		for _, line := range strings.Split(n.Log(), "\n") {
			if strings.HasPrefix(line, "panic:") || strings.Contains(line, "DATA RACE") {
				out = append(out, n.Spec.Name+": "+line)
			}
		}
	}
	return out
}
