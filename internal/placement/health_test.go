package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a slow target that is mistaken for a loaded one. One group of ten decodes at a
// quarter of the others' pace. It must get almost no requests until it recovers.
func TestSlowTargetIsDistinguishedFromALoadedOne(t *testing.T) {
	p := newPicker(10)
	for i := range 10 {
		p.RecordStart(start, fmt.Sprint(i), fmt.Sprintf("g%03d", i), 1000+500*(i%2))
	}
	for step := range 40 {
		for i := range 10 {
			tokens := 20
			if i == 3 {
				tokens = 5
			}
			p.RecordProgress(at(time.Duration(step)*500*time.Millisecond), fmt.Sprint(i), tokens)
		}
	}
	now := at(20 * time.Second)
	for id, x := range p.targets {
		assert.Equal(t, x.pace.isSlow, id == "g003", id)
	}
	p.targets["g003"].pace.nextProbe = now.Add(time.Hour)
	for range 200 {
		c := mustPick(t, p, now, Request{Tokens: 100})
		assert.Assert(t, c.ID != "g003")
	}
	p.targets["g003"].pace.nextProbe = now
	assert.Equal(t, mustPick(t, p, now, Request{Tokens: 100, ReservedFraction: 0.1}).Reason, ReasonProbe)
	for step := range 40 {
		p.RecordProgress(now.Add(time.Duration(step)*500*time.Millisecond), "3", 20)
	}
	assert.Assert(t, !p.targets["g003"].pace.isSlow)
}

// Guards against requests that wait at a paused group. One member is paused: connections stay
// open, nothing fails, and the tokens stop. New requests go elsewhere until an attempt makes
// progress again.
func TestStalledTargetIsAvoided(t *testing.T) {
	p := newPicker(2)
	p.RecordStart(start, "stuck", "g000", 100)
	p.RecordProgress(at(time.Second), "stuck", 1)
	p.RecordStart(start, "busy", "g001", 6000)
	later := at(time.Second + 2*stalledAfter)
	p.RecordProgress(later, "busy", 1)
	for range 50 {
		assert.Equal(t, mustPick(t, p, later, Request{Tokens: 100}).ID, "g001")
	}
	p.RecordProgress(later, "stuck", 1)
	assert.Equal(t, mustPick(t, p, later, Request{Tokens: 100}).ID, "g000")
}

// Guards against a returning group that draws every request at once with a cold prefix cache.
// It is the least loaded beside nine loaded groups.
func TestReturningTargetIsRampedUp(t *testing.T) {
	p := newPicker(9)
	p.SetTargets(start, groups(10))
	sent := 0
	for i := range 100 {
		c := mustPick(t, p, start, Request{Tokens: 500})
		p.RecordStart(start, fmt.Sprint(i), c.ID, 500)
		if c.ID == "g009" {
			sent++
		}
	}
	assert.Assert(t, sent <= 2, "%d of 100 sent to the cold target", sent)
	assert.Equal(t, p.targets["g009"].limitFraction(at(defaultRampTime)), 1.0)
}

// Guards against further failed requests after a fabric domain fails. Two of its four groups
// have failed a request; the other two must be avoided without a failure of their own.
func TestFailedDomainIsAvoidedAfterHalfOfItsTargetsFailed(t *testing.T) {
	p := newPicker(8)
	for _, id := range []string{"g000", "g001"} {
		p.RecordStart(start, id, id, 100)
		p.RecordFinish(start, id, Result{})
	}
	for range 100 {
		c := mustPick(t, p, start, Request{Tokens: 100})
		assert.Assert(t, c.ID >= "g004", c.ID)
	}
	p.SetTargets(start, groups(4))
	assert.Assert(t, !p.HasCapacity(start, Request{Model: "m", Tokens: 100}))
	assert.Assert(t, p.HasCapacity(at(domainBackoff), Request{Model: "m", Tokens: 100}))
}

func TestCancelledAttemptIsNotAFailure(t *testing.T) {
	p := newPicker(1)
	p.RecordStart(start, "a", "g000", 100)
	p.RecordFinish(start, "a", Result{Cancelled: true})
	assert.Assert(t, p.HasCapacity(start, Request{Model: "m", Tokens: 100}))
	assert.Equal(t, p.targets["g000"].own, 0)
}

func TestUnlistedTargetGetsNothingNewAndItsAttemptsEnd(t *testing.T) {
	p := newPicker(2)
	p.RecordStart(start, "a", "g001", 100)
	p.SetTargets(start, groups(1))
	for range 50 {
		assert.Equal(t, mustPick(t, p, start, Request{Tokens: 10}).ID, "g000")
	}
	p.RecordFinish(start, "a", Result{OK: true})
	assert.Equal(t, len(p.attempts), 0)
}

// Guards against a slow recovery from an outage of all groups. The network between this entry
// and all groups fails for some seconds, too short for the control VMs to unlist any. Ramps of
// all groups at once would delay the recovery by ten seconds. A single group that failed does
// ramp up.
func TestOutageOfAllEndsWithoutRamps(t *testing.T) {
	fail := func(p *Picker, n int) {
		for i := range 3 * n {
			id := fmt.Sprintf("g%03d", i%n)
			p.RecordStart(start, fmt.Sprint(i), id, 100)
			p.RecordFinish(start, fmt.Sprint(i), Result{})
		}
		for i := range n {
			id := fmt.Sprintf("g%03d", i)
			p.RecordStart(at(maxBackoff), id, id, 100)
			p.RecordFinish(at(maxBackoff), id, Result{OK: true})
		}
	}
	all, one := newPicker(10), newPicker(10)
	fail(all, 10)
	fail(one, 1)
	assert.Equal(t, all.targets["g000"].limitFraction(at(maxBackoff)), 1.0)
	assert.Equal(t, all.targets["g009"].limitFraction(at(maxBackoff)), 1.0)
	assert.Equal(t, one.targets["g000"].limitFraction(at(maxBackoff)), initialRampFraction)
}

// Guards against a returning group that is mistaken for idle. The group is unlisted for a
// moment and returns with its requests still in flight.
func TestReturningTargetKeepsItsAttemptsAndLimit(t *testing.T) {
	p := newPicker(2)
	p.targets["g001"].limit = 20000
	p.RecordStart(start, "a", "g001", 9500)
	p.SetTargets(start, groups(1))
	p.SetTargets(start, groups(2))
	assert.Equal(t, p.targets["g001"].limit, 20000.0)
	assert.Equal(t, p.targets["g001"].load, 9500.0)
	p.RecordFinish(start, "a", Result{OK: true})
	assert.Equal(t, p.targets["g001"].load, 0.0)
}

// Guards against a slow instance of a plain service that is not detected. It takes ten times as
// long as its peers, and each call counts one unit of work, so only the time of its answers
// shows that it is slow.
func TestSlowPlainServiceInstanceIsDetectedByAnswerTime(t *testing.T) {
	p := New(Options{Seed: 1, DataCentre: "dc"})
	var list []Target
	for i := range 4 {
		list = append(list, Target{ID: fmt.Sprint("s", i), DataCentre: "dc", Model: "files", Capacity: 32})
	}
	p.SetTargets(start, list)
	for i := range 60 {
		id := list[i%4].ID
		took := 20 * time.Millisecond
		if id == "s2" {
			took = 200 * time.Millisecond
		}
		p.RecordStart(start, fmt.Sprint(i), id, 1)
		p.RecordFinish(start, fmt.Sprint(i), Result{OK: true, Duration: took})
	}
	for id, x := range p.targets {
		assert.Equal(t, x.pace.isSlow, id == "s2", id)
	}
}

// Guards against a sound target that gets no request while it ramps up, because the others are idle
// as well and each tie goes to them.
func TestRampingTargetGetsItsShareOfAnIdlePool(t *testing.T) {
	p := newPicker(1)
	p.SetTargets(start, groups(2))
	sent := 0
	for i := range 100 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		c := mustPick(t, p, now, Request{Tokens: 10})
		p.RecordStart(now, fmt.Sprint(i), c.ID, 10)
		p.RecordFinish(now.Add(5*time.Millisecond), fmt.Sprint(i), Result{OK: true})
		if c.ID == "g001" {
			sent++
		}
	}
	assert.Assert(t, sent >= 20, "%d of 100 sent to the ramping target", sent)
}
