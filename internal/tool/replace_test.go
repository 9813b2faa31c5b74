package tool

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/citronstep/citronstep/internal/blackboard"
)

const replacementDocumentText = `
version = 7

[[service]]
name = "pool"
max_connections = 400
[service.engine]
slots = 26
step_ms = 6
[[service.engine.models]]
name = "memo"
vms = 4
share = 1

[[route]]
name = "drafts"
host = "models.example"
path_prefix = "/drafts/"
kind = "streaming"
resumable = true
timeout_ms = 8000
objective_ms = 300
max_attempts = 2
backends = [{ service = "pool", weight = 1 }]

[[workspace]]
name = "audits"
key_file = "audits.key"
more_keys_sha256 = ["ef260e9aa3c673af240d17a2660480361a8e081d1ffeca2a5ed0e3219fc18567"]
priority = 1

[limits]
max_body_bytes = 4194304
`

// A complete configuration must come into force at once, sending it again must change nothing,
// and an older version must be reported as such.
func TestReplaceConfiguration(t *testing.T) {
	f := newFakeAdmin(t)
	document := writeDocument(t, replacementDocumentText)
	out := f.must(t, ExitOK, "replace", document).out
	assert.Assert(t, is.Contains(out, "version 7 is accepted as revision 1 and in force everywhere"))
	c := f.board.Config
	assert.Equal(t, c.Routes["drafts"].Kind, blackboard.RouteStreaming)
	assert.Equal(t, c.Services["pool"].Engine.StepMillis, 6.0)
	assert.Equal(t, c.Workspaces["audits"].KeySHA256, hashKey("k1"))
	assert.Equal(t, len(c.Workspaces["audits"].MoreKeysSHA256), 1)
	assert.Equal(t, c.Limits.MaxBodyBytes, int64(4194304))

	assert.Assert(t, is.Contains(f.must(t, ExitOK, "replace", document).out, "no change: version 7 was accepted before"))
	older := writeDocument(t, strings.Replace(replacementDocumentText, "version = 7", "version = 3", 1))
	assert.Assert(t, is.Contains(f.must(t, ExitOK, "replace", older).out, "no change: version 7 is newer than the 3"))
}

// An invalid document must be refused before anything is sent, and the message must name the
// position of the fault.
func TestInvalidReplacementDocumentIsNotSent(t *testing.T) {
	for text, want := range map[string]string{
		"version = -1":                         "a whole number of 0 or more",
		"version = 7\nroutes = []":             "unknown key",
		"":                                     "needs a version over 0",
		"version = 7\n[[route]]\nname = \"r\"": "a route needs a name and a host",
	} {
		f := newFakeAdmin(t)
		r := f.must(t, ExitUsage, "replace", writeDocument(t, text))
		assert.Assert(t, is.Contains(r.err, want), text)
		assert.Equal(t, f.board.Config.Version, uint64(0))
	}
}
