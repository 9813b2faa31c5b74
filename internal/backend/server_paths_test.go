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

func (p *paths) wayTo(now time.Time, address string) way {
	w, _ := p.choose(now, address)
	return w
}

// Guards against requests that stay on the longer way after the links are back, and against those
// that go back at the first sign of them.
func TestDirectWayIsUsedAgainAfterTwoChecks(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	assert.Equal(t, p.wayTo(now, firstServer), wayDirect)
	assert.Assert(t, p.connectedByPeer(now, firstServer, "refused", true))
	assert.Assert(t, !p.connectedByPeer(now, firstServer, "refused", true))
	w, check := p.choose(now, firstServer)
	assert.Equal(t, w, wayRelayed)
	assert.Assert(t, !check, "the direct way has just failed")
	now = now.Add(pathCheckInterval)
	_, check = p.choose(now, firstServer)
	assert.Assert(t, check)
	_, check = p.choose(now, firstServer)
	assert.Assert(t, !check, "one check at a time")
	for _, ok := range []bool{true, false, true} {
		p.checked(now, firstServer, ok)
		assert.Equal(t, p.wayTo(now, firstServer), wayRelayed)
	}
	p.checked(now, firstServer, true)
	assert.Equal(t, p.wayTo(now, firstServer), wayDirect)
	assert.Equal(t, p.relayedCount(), 0)
}

// Guards against requests that alternate between the two ways with a link that comes and goes.
func TestFlappingLinkIsTrustedLater(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	for _, needed := range []int{2, 4, 8, 16, 16} {
		assert.Assert(t, p.connectedByPeer(now, firstServer, "refused", true))
		for range needed - 1 {
			p.checked(now, firstServer, true)
			assert.Equal(t, p.wayTo(now, firstServer), wayRelayed)
		}
		p.checked(now, firstServer, true)
		assert.Equal(t, p.wayTo(now, firstServer), wayDirect)
	}
	now = now.Add(flapWindow)
	assert.Assert(t, p.connectedByPeer(now, firstServer, "refused", true))
	assert.Equal(t, p.byAddress[firstServer].needed, maxChecksToRestore, "the last loss doubled it")
	for range maxChecksToRestore {
		p.checked(now, firstServer, true)
	}
	assert.Equal(t, p.byAddress[firstServer].needed, checksToRestore)
}

// Guards against a longer way that is taken because one packet was lost.
func TestOneTimeoutIsNoLostWay(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	assert.Assert(t, !p.connectedByPeer(now, firstServer, "timed out", false))
	assert.Equal(t, p.wayTo(now, firstServer), wayDirect)
	p.connected(now, firstServer)
	assert.Assert(t, !p.connectedByPeer(now, firstServer, "timed out", false))
	assert.Assert(t, p.connectedByPeer(now, firstServer, "timed out", false))
	assert.Equal(t, p.wayTo(now, firstServer), wayRelayed)
}

// Guards against an entry that takes its links for down because some servers are, and against one
// that tries its links to one server after the other although all are down.
func TestEntryIsCutOffOnceItReachesNoServer(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	p.connected(now, firstServer)
	now = now.Add(time.Second)
	p.connectedByPeer(now, firstServer, "refused", true)
	p.heard.set(now.Add(cutOffSilence / 2))
	now = now.Add(2 * cutOffSilence)
	assert.Assert(t, !p.isCutOff(now), "one server")
	p.connectedByPeer(now, secondServer, "refused", true)
	assert.Assert(t, p.isCutOff(now))
	assert.Equal(t, p.wayTo(now, thirdServer), wayRelayed)
	assert.Equal(t, p.relayedCount(), 3)

	p.heard.set(now.Add(time.Millisecond))
	assert.Assert(t, !p.isCutOff(now), "an open connection carries data")
	assert.Equal(t, p.wayTo(now, "10.0.0.4:80"), wayDirect)
}

// Guards against callers that wait for the time-outs of dials while no entry reaches a server, and
// against servers that are not tried again.
func TestUnreachableServerIsTriedByOneCallAtATime(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	p.unreachable(now, firstServer)
	assert.Equal(t, p.wayTo(now, firstServer), wayNone)
	now = now.Add(unreachableTime)
	assert.Equal(t, p.wayTo(now, firstServer), wayDirect, "one call tries")
	assert.Equal(t, p.wayTo(now, firstServer), wayNone, "the others don't wait for it")
	p.connected(now, firstServer)
	assert.Equal(t, p.wayTo(now, firstServer), wayDirect)
	assert.Equal(t, p.wayTo(now, firstServer), wayDirect)
}

// Guards against a table that grows with each address that a backend server has ever had.
func TestUnusedPathsAreForgotten(t *testing.T) {
	p, now := newTestPaths(), time.Now()
	p.connectedByPeer(now, firstServer, "refused", true)
	p.unreachable(now.Add(2*pathRetention), secondServer)
	assert.Equal(t, len(p.byAddress), 1)
	assert.Equal(t, p.relayedCount(), 0)
}
