package backend

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

const (
	firstServer  = "10.0.0.1:80"
	secondServer = "10.0.0.2:80"
	thirdServer  = "10.0.0.3:80"
)

func newTestPaths() *paths { return newPaths(log.NewNopLogger()) }

func (p *paths) pathTo(now time.Time, address string) pathKind {
	w, _ := p.choose(now, address)
	return w
}

// Guards against requests that stay on the relayed path after the links are back, and against those
// that go back at the first sign of them.
func TestDirectPathIsUsedAgainAfterTwoChecks(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	assert.Equal(t, p.pathTo(now, firstServer), pathDirect)
	assert.Assert(t, p.connectedByPeer(now, firstServer, "refused", true))
	assert.Assert(t, !p.connectedByPeer(now, firstServer, "refused", true))
	w, check := p.choose(now, firstServer)
	assert.Equal(t, w, pathRelayed)
	assert.Assert(t, !check, "the direct path has just failed")
	now = now.Add(pathCheckInterval)
	_, check = p.choose(now, firstServer)
	assert.Assert(t, check)
	_, check = p.choose(now, firstServer)
	assert.Assert(t, !check, "one check at a time")
	for _, ok := range []bool{true, false, true} {
		p.checked(now, firstServer, ok)
		assert.Equal(t, p.pathTo(now, firstServer), pathRelayed)
	}
	p.checked(now, firstServer, true)
	assert.Equal(t, p.pathTo(now, firstServer), pathDirect)
	assert.Equal(t, p.relayedCount(), 0)
}

// Guards against requests that alternate between the two paths with a link that comes and goes.
func TestFlappingLinkIsTrustedLater(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	for _, needed := range []int{2, 4, 8, 16, 16} {
		assert.Assert(t, p.connectedByPeer(now, firstServer, "refused", true))
		for range needed - 1 {
			p.checked(now, firstServer, true)
			assert.Equal(t, p.pathTo(now, firstServer), pathRelayed)
		}
		p.checked(now, firstServer, true)
		assert.Equal(t, p.pathTo(now, firstServer), pathDirect)
	}
	now = now.Add(flapWindow)
	assert.Assert(t, p.connectedByPeer(now, firstServer, "refused", true))
	assert.Equal(t, p.byAddress[firstServer].needed, maxChecksToRestore, "the last loss doubled it")
	for range maxChecksToRestore {
		p.checked(now, firstServer, true)
	}
	assert.Equal(t, p.byAddress[firstServer].needed, checksToRestore)
}

// Guards against a relayed path that is taken because one packet was lost.
func TestOneTimeoutIsNoLostPath(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	assert.Assert(t, !p.connectedByPeer(now, firstServer, "timed out", false))
	assert.Equal(t, p.pathTo(now, firstServer), pathDirect)
	p.connected(now, firstServer)
	assert.Assert(t, !p.connectedByPeer(now, firstServer, "timed out", false))
	assert.Assert(t, p.connectedByPeer(now, firstServer, "timed out", false))
	assert.Equal(t, p.pathTo(now, firstServer), pathRelayed)
}

// Guards against an entry that takes its links for down because some servers are, and against one
// that tries its links to one server after the other although all are down.
func TestEntryIsCutOffOnceItReachesNoServer(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	p.connected(now, firstServer)
	now = now.Add(time.Second)
	p.connectedByPeer(now, firstServer, "refused", true)
	p.received.set(now.Add(cutOffSilence / 2))
	now = now.Add(2 * cutOffSilence)
	assert.Assert(t, !p.isCutOff(now), "one server")
	p.connectedByPeer(now, secondServer, "refused", true)
	assert.Assert(t, p.isCutOff(now))
	assert.Equal(t, p.pathTo(now, thirdServer), pathRelayed)
	assert.Equal(t, p.relayedCount(), 3)

	p.received.set(now.Add(time.Millisecond))
	assert.Assert(t, !p.isCutOff(now), "an open connection carries data")
	assert.Equal(t, p.pathTo(now, "10.0.0.4:80"), pathDirect)
}

// Guards against callers that wait for the time-outs of dials while no entry reaches a server, and
// against servers that are not tried again.
func TestUnreachableServerIsTriedByOneCallAtATime(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	p.unreachable(now, firstServer)
	assert.Equal(t, p.pathTo(now, firstServer), pathNone)
	now = now.Add(unreachableTime)
	assert.Equal(t, p.pathTo(now, firstServer), pathDirect, "one call tries")
	assert.Equal(t, p.pathTo(now, firstServer), pathNone, "the others don't wait for it")
	p.connected(now, firstServer)
	assert.Equal(t, p.pathTo(now, firstServer), pathDirect)
	assert.Equal(t, p.pathTo(now, firstServer), pathDirect)
}

// Guards against a table that grows with each address that a backend server has ever had.
func TestUnusedPathsAreForgotten(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	p.connectedByPeer(now, firstServer, "refused", true)
	p.unreachable(now.Add(2*pathRetention), secondServer)
	assert.Equal(t, len(p.byAddress), 1)
	assert.Equal(t, p.relayedCount(), 0)
}
