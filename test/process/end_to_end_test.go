package process

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

const initialDocument = `
active_preset = "ordinary"

[[workspace]]
name = "dev"
key_sha256 = "KEY"
share = 1

[[class]]
name = "interactive"
worth = 100

[[preset]]
name = "ordinary"
`

const groupDocument = `
[[group]]
name = "memos"
model = "demo"
replicas = 1
vms_per_replica = 2
worth = 10
`

// TestEndToEnd runs the complete system as processes. The operators' tool bootstraps and
// configures it. Each of four entries answers for one serving group of two VMs and for a
// plain service.
func TestEndToEnd(t *testing.T) {
	t.Parallel()
	c := harness.NewCluster(t, harness.Standard())
	first := c.Document("first.toml", withWorkspaceKey(initialDocument))
	out, status := c.Tool("init", "-configuration", first, "-timeout", "60s")
	assert.Equal(t, status, 0, out)
	c.StartEngines(3, "vm", "d1", "-load-time", "50ms", "-token-interval", "1ms")
	c.StartService("audit-1", "audit")
	out, status = c.Tool("apply", c.Document("group.toml", groupDocument), "-timeout", "60s")
	assert.Equal(t, status, 0, out)
	c.AwaitGroups("demo", 1)
	c.AwaitReady()

	for i, n := range c.Entries() {
		t.Run(n.Spec.Name, func(t *testing.T) {
			request := harness.Completion{Model: "demo", Prompt: "hello from " + n.Spec.Name, MaxTokens: 12}
			awaitAnswer(t, n, request)
			plain := harness.Complete(t.Context(), n.Entry, request)
			assert.Assert(t, plain.Right(request), "%+v", plain)
			request.Stream = true
			streamed := harness.Complete(t.Context(), n.Entry, request)
			assert.Assert(t, streamed.Right(request), "%+v", streamed)
			assert.Assert(t, plain.RequestID != "" && plain.RequestID != streamed.RequestID)

			call := harness.ServiceRequest{
				Service: "audit", Method: http.MethodPut, Path: "/files/" + strconv.Itoa(i), Body: []byte(n.Spec.Name),
			}
			reply := harness.CallService(t.Context(), n.Entry, call)
			echo, err := reply.Echo()
			assert.NilError(t, err)
			assert.Equal(t, echo.Path, call.Path)
			assert.Equal(t, echo.BodyHash, standin.BodyHash(call.Body))
		})
	}
	t.Run("refusals are typed", func(t *testing.T) { checkRefusals(t, c.Entries()[0]) })
}

func withWorkspaceKey(document string) string {
	return replaceKey(document, harness.KeyHash(harness.WorkspaceKey))
}

// checkRefusals checks the failure type of requests that an entry must refuse unrun.
func checkRefusals(t *testing.T, n *harness.Node) {
	for name, test := range map[string]struct {
		request harness.Completion
		want    failure.Type
	}{
		"unknown model": {harness.Completion{Model: "none", Prompt: "x"}, failure.TypeUnknownModel},
		"no prompt":     {harness.Completion{Model: "demo"}, failure.TypeBadRequest},
		"unknown class": {harness.Completion{Model: "demo", Prompt: "x", Class: "none"}, failure.TypeBadRequest},
		"body too large": {
			harness.Completion{Model: "demo", Prompt: strings.Repeat("x", settings.DefaultMaxBodyBytes)}, failure.TypeBodyTooLarge,
		},
	} {
		reply := harness.Complete(t.Context(), n.Entry, test.request)
		assert.Assert(t, reply.Refusal != nil, "%s: %+v", name, reply)
		assert.Equal(t, reply.Refusal.Type, test.want, name)
		assert.Equal(t, reply.Refusal.Ran, failure.RanNo, name)
	}
}
