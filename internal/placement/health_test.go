package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// One group of ten decodes at a quarter of the others' pace. It must be told
// from one that is only loaded, and get almost nothing until it is well.
func TestSlowTargetIsToldFromALoadedOne(t *testing.T) {
	p := picker(10)
	for i := range 10 {
		p.Started(start, fmt.Sprint(i), fmt.Sprintf("g%03d", i), 1000+500*(i%2))
	}
	for step := range 40 {
		for i := range 10 {
			tokens := 20
			if i == 3 {
				tokens = 5
			}
			p.Progress(at(time.Duration(step)*500*time.Millisecond), fmt.Sprint(i), tokens)
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
	assert.Equal(t, mustPick(t, p, now, Request{Tokens: 100, Reserve: 0.1}).Reason, ReasonProbe)
	for step := range 40 {
		p.Progress(now.Add(time.Duration(step)*500*time.Millisecond), "3", 20)
	}
	assert.Assert(t, !p.targets["g003"].pace.isSlow)
}

// One member of a group is paused. Connections stay open and nothing fails; the
// tokens cease. New requests go elsewhere until it moves again.
func TestStalledTargetIsLeftAlone(t *testing.T) {
	p := picker(2)
	p.Started(start, "stuck", "g000", 100)
	p.Progress(at(time.Second), "stuck", 1)
	p.Started(start, "busy", "g001", 6000)
	later := at(time.Second + 2*stalledAfter)
	p.Progress(later, "busy", 1)
	for range 50 {
		assert.Equal(t, mustPick(t, p, later, Request{Tokens: 100}).ID, "g001")
	}
	p.Progress(later, "stuck", 1)
	assert.Equal(t, mustPick(t, p, later, Request{Tokens: 100}).ID, "g000")
}

// A group comes back beside nine loaded ones. As the least loaded it would draw
// every request at once, with a cold prefix cache.
func TestReturningTargetIsRampedUp(t *testing.T) {
	p := picker(9)
	p.SetTargets(start, groups(10))
	sent := 0
	for i := range 100 {
		c := mustPick(t, p, start, Request{Tokens: 500})
		p.Started(start, fmt.Sprint(i), c.ID, 500)
		if c.ID == "g009" {
			sent++
		}
	}
	assert.Assert(t, sent <= 2, "%d of 100 sent to the cold target", sent)
	assert.Equal(t, p.targets["g009"].limitFraction(at(defaultRampTime)), 1.0)
}

// A fabric domain goes dark. Two of its four groups have failed a request; the
// other two must not fail some more before they are avoided.
func TestDarkDomainIsAvoidedAfterHalfOfItFailed(t *testing.T) {
	p := picker(8)
	for _, id := range []string{"g000", "g001"} {
		p.Started(start, id, id, 100)
		p.Finished(start, id, Result{})
	}
	for range 100 {
		c := mustPick(t, p, start, Request{Tokens: 100})
		assert.Assert(t, c.ID >= "g004", c.ID)
	}
	p.SetTargets(start, groups(4))
	assert.Assert(t, !p.HasRoom(start, Request{Model: "m", Tokens: 100}))
	assert.Assert(t, p.HasRoom(at(domainBackoff), Request{Model: "m", Tokens: 100}))
}

func TestCancelledAttemptIsNoFault(t *testing.T) {
	p := picker(1)
	p.Started(start, "a", "g000", 100)
	p.Finished(start, "a", Result{Cancelled: true})
	assert.Assert(t, p.HasRoom(start, Request{Model: "m", Tokens: 100}))
	assert.Equal(t, p.targets["g000"].own, 0)
}

func TestUnlistedTargetGetsNothingNewAndItsAttemptsEnd(t *testing.T) {
	p := picker(2)
	p.Started(start, "a", "g001", 100)
	p.SetTargets(start, groups(1))
	for range 50 {
		assert.Equal(t, mustPick(t, p, start, Request{Tokens: 10}).ID, "g000")
	}
	p.Finished(start, "a", Result{OK: true})
	assert.Equal(t, len(p.attempts), 0)
}

// The network between this entry and all groups is gone for some seconds, too
// short for the control VMs to unlist any. Ramps of all at once would hold the
// recovery back for ten seconds more; a single group that failed has its ramp.
func TestOutageOfAllEndsWithoutRamps(t *testing.T) {
	fail := func(p *Picker, n int) {
		for i := range 3 * n {
			id := fmt.Sprintf("g%03d", i%n)
			p.Started(start, fmt.Sprint(i), id, 100)
			p.Finished(start, fmt.Sprint(i), Result{})
		}
		for i := range n {
			id := fmt.Sprintf("g%03d", i)
			p.Started(at(maxBackoff), id, id, 100)
			p.Finished(at(maxBackoff), id, Result{OK: true})
		}
	}
	all, one := picker(10), picker(10)
	fail(all, 10)
	fail(one, 1)
	assert.Equal(t, all.targets["g000"].limitFraction(at(maxBackoff)), 1.0)
	assert.Equal(t, all.targets["g009"].limitFraction(at(maxBackoff)), 1.0)
	assert.Equal(t, one.targets["g000"].limitFraction(at(maxBackoff)), initialRampFraction)
}

// A group is taken off the list for a moment and comes back with its requests
// still in flight. It must not be taken for idle.
func TestReturningTargetKeepsItsAttemptsAndLimit(t *testing.T) {
	p := picker(2)
	p.targets["g001"].limit = 20000
	p.Started(start, "a", "g001", 9500)
	p.SetTargets(start, groups(1))
	p.SetTargets(start, groups(2))
	assert.Equal(t, p.targets["g001"].limit, 20000.0)
	assert.Equal(t, p.targets["g001"].load, 9500.0)
	p.Finished(start, "a", Result{OK: true})
	assert.Equal(t, p.targets["g001"].load, 0.0)
}

// An instance of a plain service takes ten times as long as its peers. Calls
// count one unit of work; its answers alone tell that it is slow.
func TestSlowPlainServiceInstanceIsFoundByItsAnswers(t *testing.T) {
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
		p.Started(start, fmt.Sprint(i), id, 1)
		p.Finished(start, fmt.Sprint(i), Result{OK: true, Took: took})
	}
	for id, x := range p.targets {
		assert.Equal(t, x.pace.isSlow, id == "s2", id)
	}
}

// Guards against a full backend server that is asked again before the time that it named.
func TestABusyTargetIsLeftAloneAsLongAsItAsked(t *testing.T) {
	p := picker(1)
	p.Started(start, "a", "g000", 100)
	p.Finished(start, "a", Result{RetryAfter: 5 * time.Second})
	assert.Assert(t, !p.HasRoom(at(4900*time.Millisecond), Request{Model: "m", Tokens: 100}))
	assert.Assert(t, p.HasRoom(at(5*time.Second), Request{Model: "m", Tokens: 100}))

	p.Started(start, "b", "g000", 100)
	p.Finished(start, "b", Result{RetryAfter: time.Hour})
	assert.Assert(t, p.HasRoom(at(maxRetryAfter), Request{Model: "m", Tokens: 100}))
}
