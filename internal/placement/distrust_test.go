package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unreadable lets a request get an unreadable answer from a target at a time.
func unreadable(p *Picker, now time.Time, target, request string) (TrustChange, bool) {
	id := fmt.Sprint(request, now.UnixNano())
	p.RecordStart(now, id, target, 1)
	return p.RecordFinish(now, id, Result{Unreadable: request})
}

// setAside makes the server of g000 answer until it is set aside.
func setAside(t *testing.T, p *Picker) {
	t.Helper()
	for i := range unreadableLimit {
		change, isChanged := unreadable(p, start, "g000", fmt.Sprint("r", i))
		assert.Equal(t, isChanged, i == unreadableLimit-1)
		if isChanged {
			assert.Equal(t, change.Server, "s0")
		}
	}
}

// Guards against a server whose answers can't be read and that gets requests all the time.
func TestServerWithUnreadableAnswersIsSetAside(t *testing.T) {
	p := newServerPicker(2)
	setAside(t, p)
	assert.Assert(t, p.IsBlocked(at(initialDistrust-1), "g000"))
	assert.Assert(t, p.IsDistrusted(at(initialDistrust-1), "m", nil))
	assert.Assert(t, !p.IsBlocked(at(initialDistrust-1), "g001"))
	assert.Assert(t, !p.IsBlocked(at(initialDistrust), "g000"))
}

// Guards against a sound server that is set aside as one caller asks it for too much, again and again.
func TestOneRequestSetsNoServerAside(t *testing.T) {
	p := newServerPicker(2)
	for i := range 100 {
		_, isChanged := unreadable(p, at(time.Duration(i)*time.Millisecond), "g000", "large")
		assert.Assert(t, !isChanged)
	}
}

// Guards against a sound server that is set aside for answers between which it gave complete ones, or that are old.
func TestCompleteAnswersAndTimeKeepTrust(t *testing.T) {
	p := newServerPicker(2)
	for i := range 100 {
		_, isChanged := unreadable(p, start, "g000", fmt.Sprint("large", i))
		assert.Assert(t, !isChanged)
		p.RecordStart(start, "ok", "g000", 1)
		_, isChanged = p.RecordFinish(start, "ok", Result{OK: true})
		assert.Assert(t, !isChanged)
	}
	for i := range 100 {
		now := at(time.Duration(i) * 2 * unreadableWindow)
		_, isChanged := unreadable(p, now, "g000", fmt.Sprint("old", i))
		assert.Assert(t, !isChanged)
	}
}

// Guards against a crowd of requests at the end of the time, and against a server that never comes back.
func TestServerComesBackByProbes(t *testing.T) {
	p := newServerPicker(2)
	setAside(t, p)
	now := at(initialDistrust)
	p.RecordStart(now, "probe", "g000", 1)
	assert.Assert(t, p.IsBlocked(now, "g000"), "one probe at a time")
	change, isChanged := p.RecordFinish(now.Add(100*time.Millisecond), "probe", Result{Unreadable: "probe"})
	assert.Assert(t, isChanged)
	assert.Equal(t, change.SetAside, 2*initialDistrust)
	now = now.Add(100*time.Millisecond + 2*initialDistrust)
	assert.Assert(t, !p.IsBlocked(now, "g000"))
	p.RecordStart(now, "good", "g000", 1)
	change, isChanged = p.RecordFinish(now.Add(100*time.Millisecond), "good", Result{OK: true})
	assert.Assert(t, isChanged)
	assert.Equal(t, change.SetAside, time.Duration(0))
	assert.Assert(t, !p.IsBlocked(now.Add(100*time.Millisecond), "g000"))
}

// Guards against a service that is without servers for long, as its only one was set aside or all were.
func TestLastServerIsSetAsideForAShortTime(t *testing.T) {
	p := newServerPicker(1)
	now := start
	for i := range 20 {
		change, isChanged := unreadable(p, now, "g000", fmt.Sprint("r", i))
		if isChanged {
			assert.Equal(t, change.SetAside, maxLoneDistrust)
			now = now.Add(change.SetAside)
		}
	}
	assert.Assert(t, !p.IsBlocked(now, "g000"))
}

// Guards against requests that wait for a server that is set aside and most likely fails them.
func TestServerThatIsSetAsideHasNoCapacity(t *testing.T) {
	p := newServerPicker(1)
	setAside(t, p)
	capacity, limited := p.SendCapacity(start, at(time.Hour), "m", nil)
	assert.Assert(t, limited)
	assert.Equal(t, capacity, 0)
	_, limited = p.SendCapacity(at(maxLoneDistrust), at(time.Hour), "m", nil)
	assert.Assert(t, !limited)
}

// Guards against the distrust of one start of a server that lasts for the next, or that is lost with its group.
func TestDistrustFollowsTheServer(t *testing.T) {
	p := newServerPicker(2)
	setAside(t, p)
	list := serverTargets(2)
	p.SetTargets(start, list[1:])
	p.SetTargets(start, list)
	assert.Assert(t, p.IsBlocked(at(time.Second), "g000"))
	list[0].Server = "next"
	p.SetTargets(start, list)
	assert.Assert(t, !p.IsBlocked(at(time.Second), "g000"))
}
