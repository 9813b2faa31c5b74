package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// probeFor sends a request to g000 whenever it may get one, for a time, and returns when the probes, named by their round, were sent.
func probeFor(p *Picker, round string, from, length time.Duration) (sent []time.Duration) {
	const step = 100 * time.Millisecond
	for now := from; now < from+length; now += step {
		if !p.IsBlocked(at(now), "g000") {
			p.RecordStart(at(now), fmt.Sprint(round, len(sent)), "g000", 1)
			sent = append(sent, now-from)
		}
	}
	return sent
}

// Guards against a request a second that is lost to a server whose answers take until the deadline to show that they
// can't be read.
func TestProbesWithoutAResultGetRarer(t *testing.T) {
	p := newServerPicker(2)
	setAside(t, p)
	sent := probeFor(p, "first", initialDistrust, 30*time.Second)
	assert.DeepEqual(t, sent, []time.Duration{0, time.Second, 3 * time.Second, 7 * time.Second, 15 * time.Second})

	now := at(initialDistrust + 30*time.Second)
	change, isChanged := p.RecordFinish(now, "first0", Result{Unreadable: "first0"})
	assert.Assert(t, isChanged)
	assert.Equal(t, change.SetAside, 2*initialDistrust)
	_, isChanged = p.RecordFinish(now.Add(time.Second), "first1", Result{Unreadable: "first1"})
	assert.Assert(t, !isChanged, "a probe of the round before")
	assert.Assert(t, p.IsBlocked(now.Add(2*initialDistrust-1), "g000"))
	assert.Assert(t, !p.IsBlocked(now.Add(2*initialDistrust), "g000"))
	p.RecordFinish(now.Add(2*initialDistrust), "first2", Result{OK: true})
	assert.Equal(t, len(probeFor(p, "last", initialDistrust+time.Minute, time.Second)), 10)
}

// Guards against a service whose only server has recovered, answers slowly and gets hardly a request.
func TestProbesOfALastServerStayFrequent(t *testing.T) {
	p := newServerPicker(1)
	setAside(t, p)
	assert.Equal(t, len(probeFor(p, "only", maxLoneDistrust, 8*time.Second)), 8)
}
