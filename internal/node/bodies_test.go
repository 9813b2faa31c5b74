package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
	"github.com/citronstep/citronstep/internal/settings"
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

// Guards against a process of the system whose answer has a head without end.
func TestHeadOfAPeerOverTheLimitIsNotRead(t *testing.T) {
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X", strings.Repeat("x", 2*bounded.MaxHeadBytes))
	}))
	defer peer.Close()
	n := &Node{settings: settings.Dev(t.TempDir())}
	assert.NilError(t, n.makeMetrics())
	assert.NilError(t, n.makeClients())
	defer n.peerClient.CloseIdleConnections()
	_, err := n.peerClient.Get(peer.URL)
	assert.ErrorContains(t, err, "headers exceeded")
}
