package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/duplex/duplextest"
	"github.com/citronstep/citronstep/internal/settings"
)

// Guards against a part of a peer's answer that is taken for the whole one, as its connection is reset.
func TestAnswerOfAPeerThatIsResetIsNotComplete(t *testing.T) {
	n := &Node{settings: settings.Dev(t.TempDir())}
	assert.NilError(t, n.makeMetrics())
	assert.NilError(t, n.makeClients())
	defer n.peerClient.CloseIdleConnections()
	duplextest.CheckReset(t, n.peerClient)
}
