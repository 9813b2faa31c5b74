package node

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Guards against a process of the system that sends a call without end.
func TestCallOverTheLimitIsNotRead(t *testing.T) {
	s := start(t, nil)
	for _, path := range []string{noderpc.BoardPathPrefix + "Commit", noderpc.EntriesPathPrefix + "Hold"} {
		body := strings.NewReader(strings.Repeat("x", maxBodyBytes+1))
		answer, err := http.Post("http://"+s.settings.Peers.Listen+path, "application/protobuf", body)
		assert.NilError(t, err)
		text, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(text), "failed to read request body"), "%s", text)
	}
}
