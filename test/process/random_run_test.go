package process

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/test/workload"
)

// Callers resend without end while engines give bad answers, processes are
// killed, frozen, cut off and stopped as planned. In the end no answer may be
// lost, doubled, crossed or cut, nothing non-idempotent may have run twice, and
// no "not run" may be false. Longer: go run ./test/soak -h.
func TestRandomRun(t *testing.T) {
	t.Parallel()
	report := workload.Run(t, workload.Options{Seed: 1, Duration: 15 * time.Second, Callers: 8})
	t.Logf("%d works, %d sends: %d whole, %d not run, %d unknown, %d lost; %d runs; faults %q",
		report.Works, report.Sends, report.Whole, report.NotRun, report.Unknown, report.Lost, report.Runs, report.Faults)
	assert.Equal(t, len(report.Violations), 0, "%q", report.Violations)
	assert.Assert(t, report.Whole > 0)
}
