package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

const (
	// crashingName is the prompt and the body of the requests that crash backend servers.
	crashingName = "a request that crashes its backend server"
	// crashingPause is the longest time between two sends of one of them.
	crashingPause = 400 * time.Millisecond
	// crashingStream is the random stream of their caller. It keeps its draws apart from those of
	// the injectors.
	crashingStream = 1<<32 + 2
	// crashesUntilBound is how many backend servers such a request may crash before the bound on
	// further sends holds, contactTime after the last of these crashes, and maxSendsPastBound how
	// many may reach backend servers from then on.
	crashesUntilBound = 3
	contactTime       = 3 * time.Second
	maxSendsPastBound = 3
)

// interval is a time from its first to its last moment.
type interval struct{ from, to time.Time }

// disturbances returns when faults concerned processes of the system.
func disturbances(injectors []*faultInjector) []interval {
	var all []interval
	for _, f := range injectors {
		all = append(all, f.disturbances...)
	}
	return all
}

// crashingCaller resends a completion and a call that crash each backend server that runs them.
type crashingCaller struct {
	cluster *harness.Cluster
	servers []*harness.Standin
	random  *rand.Rand
	works   []*Work
	// sends counts the sends, crashes the crashes by them.
	sends, crashes int
}

func newCrashingCaller(c *harness.Cluster, seed uint64, servers []*harness.Standin) *crashingCaller {
	return &crashingCaller{
		cluster: c, servers: servers, random: rand.New(rand.NewPCG(seed, crashingStream)),
		works: []*Work{
			{Name: crashingName, MaxTokens: 8, Stream: true},
			{Name: crashingName, IsServiceCall: true, Method: http.MethodPut},
		},
	}
}

func (c *crashingCaller) run(ctx context.Context) {
	marker := crashingName
	for ctx.Err() == nil {
		for _, s := range c.servers {
			// A stand-in that was killed has lost its marker.
			s.Fault(standin.FaultOrder{LastingCrashMarker: &marker})
		}
		entries := c.cluster.Entries()
		c.sends++
		send(ctx, entries[c.random.IntN(len(entries))], c.works[c.random.IntN(len(c.works))])
		wait(ctx, time.Duration(c.random.Int64N(int64(crashingPause))))
	}
}

// check returns the requests that reached too many backend servers past the bound. It counts
// what began while no process of the system had been disturbed for contactTime.
func (c *crashingCaller) check(runs []standin.Run, disturbed []interval) (violations []string) {
	for _, w := range c.works {
		crashes, past := 0, 0
		var bound time.Time
		for _, run := range runs {
			switch {
			case run.Work != w.identity():
				continue
			case run.Outcome == standin.OutcomeFinished:
				// The server had lost its marker; the answer clears the request.
				crashes, past = 0, 0
				continue
			case run.Outcome != standin.OutcomeCrashed:
				continue
			}
			crashes++
			c.crashes++
			if crashes == crashesUntilBound {
				bound = run.Started.Add(contactTime)
			}
			if crashes > crashesUntilBound && run.Started.After(bound) && isCalm(run.Started, disturbed) {
				past++
			}
		}
		if past > maxSendsPastBound {
			violations = append(violations, fmt.Sprintf("%q (call %t) reached backend servers %d times past the bound", w.Name, w.IsServiceCall, past))
		}
	}
	return violations
}

// findBlamed returns the works that were refused because crashes were attributed to them, with what the logs say
// of these crashes. None of the works crashes a backend server.
func findBlamed(c *harness.Cluster, works []*Work) (violations []string) {
	for _, w := range works {
		var blamed []string
		for _, s := range w.Sends {
			if s.Reply.Refusal != nil && s.Reply.Refusal.Type == failure.TypeRequestCrashesBackend {
				blamed = append(blamed, s.Reply.Refusal.RequestID)
			}
		}
		if len(blamed) > 0 {
			violations = append(violations, fmt.Sprintf("%q crashes no backend server and was refused for it in %d of %d sends:\n%s",
				w.Name, len(blamed), len(w.Sends), strings.Join(attributionLines(c, blamed), "\n")))
		}
	}
	return violations
}

// attributionLines returns the lines about the crashes that are attributed to a refused work, from all logs in the
// order of time, or those about its first refused send if no log names the fingerprint. requests are its refused
// sends, of which logs may lack some.
func attributionLines(c *harness.Cluster, requests []string) []string {
	var logs []string
	for _, n := range c.Nodes {
		logs = append(logs, strings.Split(n.Log(), "\n")...)
	}
	fingerprint := fingerprintOf(logs, requests)
	lines := slices.DeleteFunc(logs, func(line string) bool {
		if fingerprint == "" {
			return !strings.Contains(line, requests[0])
		}
		isAboutCrashes := strings.Contains(line, "event=crash ") || strings.Contains(line, "event=suspect ")
		return !isAboutCrashes || !strings.Contains(line, fingerprint)
	})
	if len(lines) == 0 {
		return []string{fmt.Sprintf("no log names %q or its fingerprint", requests[0])}
	}
	slices.Sort(lines)
	return lines
}

// fingerprintOf returns the field with the fingerprint that the requests were refused for, or "".
func fingerprintOf(logs, requests []string) string {
	for _, line := range logs {
		if !strings.Contains(line, "event=refuse ") || !strings.Contains(line, string(failure.TypeRequestCrashesBackend)) {
			continue
		}
		// A refusal at admission does not name the fingerprint.
		fingerprint := fingerprintPattern.FindString(line)
		if fingerprint != "" && slices.ContainsFunc(requests, func(id string) bool { return strings.Contains(line, "request="+id) }) {
			return fingerprint
		}
	}
	return ""
}

// fingerprintPattern matches the fingerprint of a request in a line of a log.
var fingerprintPattern = regexp.MustCompile(`\bfingerprint=\S+`)

func isCalm(at time.Time, disturbed []interval) bool {
	for _, d := range disturbed {
		if at.After(d.from) && at.Before(d.to.Add(contactTime)) {
			return false
		}
	}
	return true
}
