package process

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/test/workload"
)

// Guards against lost, duplicated, mixed-up or cut answers, second runs of non-idempotent
// requests, and false "not run" refusals. Callers resend without end while engines give bad
// answers and processes are killed, paused, isolated and stopped by a seeded plan.
// For longer runs see go run ./test/soak -h.
func TestRandomRun(t *testing.T) {
	t.Parallel()
	checkRun(t, workload.Options{Seed: 1, Duration: 15 * time.Second, Callers: 8})
}

// Guards against wrong or missing answers while backend servers announce rate limits.
func TestRandomRunWithRateLimits(t *testing.T) {
	t.Parallel()
	report := checkRun(t, workload.Options{Seed: 2, Duration: 15 * time.Second, Callers: 8, RateLimits: true})
	assert.Assert(t, report.RateLimitsRecorded > 0)
}

// Guards against wrong or missing answers while backend servers send answers that follow no protocol.
func TestRandomRunWithBrokenAnswers(t *testing.T) {
	t.Parallel()
	report := checkRun(t, workload.Options{Seed: 98, Duration: 15 * time.Second, Callers: 8, BrokenAnswers: true})
	assert.Assert(t, report.Unreadable > 0)
}

// Guards against wrong or missing answers, and against requests within a back-off, while backend
// servers refuse requests and ask for back-offs.
func TestRandomRunWithBackoffs(t *testing.T) {
	t.Parallel()
	report := checkRun(t, workload.Options{Seed: 3, Duration: 15 * time.Second, Callers: 8, Backoffs: true})
	assert.Assert(t, report.BackoffsChecked > 0)
}

// Guards against requests that crash backend servers without end, and against wrong or missing
// answers of others beside them.
func TestRandomRunWithCrashingRequests(t *testing.T) {
	t.Parallel()
	report := checkRun(t, workload.Options{Seed: 4, Duration: 15 * time.Second, Callers: 8, Groups: 4, Crashes: true})
	assert.Assert(t, report.Crashes > 0)
}

// Repeats seeds that once failed, each with its cause. Here they run for a shorter time than in
// ./test/soak, where they failed.
func TestSeedsThatFailedOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		seed  uint64
		cause string
	}{
		{305, "never ended: the proxy kept a delay that it could not take off a blocked connection"},
		{306, "no leader for a minute: the soak deleted the data of a second control VM before the first voted again"},
	} {
		t.Run(c.cause, func(t *testing.T) {
			checkRun(t, workload.Options{Seed: c.seed, Duration: 6 * time.Second, Callers: 4, ConcurrentFaults: 3, Groups: 4})
		})
	}
}

func checkRun(t *testing.T, o workload.Options) workload.Report {
	t.Helper()
	report := workload.Run(t, o)
	t.Logf("%d works, %d sends: %d whole, %d not run, %d unknown, %d lost; %d runs; faults %q",
		report.Works, report.Sends, report.Complete, report.NotRun, report.Unknown, report.Unanswered, report.Runs, report.Faults)
	assert.Equal(t, len(report.Violations), 0, "%q", report.Violations)
	assert.Assert(t, report.Complete > 0)
	return report
}
