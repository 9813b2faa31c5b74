package tool

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// The command must find the cause from log files alone, without a running process, and report
// when no line names the request.
func TestExplainWorksFromLogsAlone(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.log")
	assert.NilError(t, os.WriteFile(path, []byte(`ts=2026-03-13T01:29:38.1Z vm=front-1 event=route request=abc.1 choice=10.0.0.1:80
ts=2026-03-13T01:29:38.2Z vm=front-1 event=refuse request=abc.1 type=deadline_exceeded ran=no reason="refused: expired_in_queue" queued_ms=90 left_ms=0 retry_after_ms=50
`), 0o600))
	run := func(args ...string) (ExitCode, string) {
		var out, err bytes.Buffer
		code := Run(context.Background(), args, Streams{Out: &out, Err: &err}, func(string) string { return "" })
		return code, out.String() + err.String()
	}
	code, out := run("explain", "abc", path)
	assert.Equal(t, code, ExitOK, out)
	assert.Assert(t, is.Contains(out, "event=route"))
	assert.Assert(t, is.Contains(out, "refused: expired_in_queue"))
	code, out = run("explain", "-json", "abc", path)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, is.Contains(out, `"cause": "It was refused by front-1`))
	code, out = run("explain", "xyz", path)
	assert.Equal(t, code, ExitNotFound, out)
	code, _ = run("explain", "abc")
	assert.Equal(t, code, ExitUsage)
}
