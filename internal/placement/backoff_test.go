package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serverTargets returns n targets of model "m", each with a backend server "sN" of its own.
func serverTargets(n int) []Target {
	list := groups(n)
	for i := range list {
		list[i].Server = fmt.Sprint("s", i)
	}
	return list
}

func newServerPicker(n int) *Picker {
	p := newPicker(0)
	p.SetTargets(start, serverTargets(n))
	return p
}

// Guards against a backend server that gets a request before the time that it asked for has
// passed.
func TestTargetIsNotUsedDuringItsBackoff(t *testing.T) {
	p := newServerPicker(1)
	p.RecordStart(start, "a", "g000", 100)
	p.RecordFinish(start, "a", Result{})
	for _, wait := range []time.Duration{5 * time.Second, time.Hour} {
		p.RecordBackoff(start, "s0", at(wait))
		before := at(wait - 100*time.Millisecond)
		assert.Assert(t, !p.HasCapacity(before, Request{Model: "m", Tokens: 100}))
		assert.Assert(t, p.IsBlocked(before, "g000"))
		_, ok := p.Pick(before, Request{Model: "m", Tokens: 100})
		assert.Assert(t, !ok)
		assert.Assert(t, p.HasCapacity(at(wait), Request{Model: "m", Tokens: 100}))
		assert.Equal(t, mustPick(t, p, at(wait), Request{Tokens: 100}).ID, "g000")
	}
}

// Guards against a back-off that ends early: by the answer to an earlier request, by a shorter
// back-off in an answer that was overtaken, or by a target that is listed again.
func TestBackoffIsNotShortened(t *testing.T) {
	p := newServerPicker(2)
	p.RecordStart(start, "before", "g000", 100)
	assert.Assert(t, p.RecordBackoff(start, "s0", at(5*time.Second)))
	assert.Assert(t, !p.RecordBackoff(start, "s0", at(time.Second)))
	p.RecordFinish(at(time.Second), "before", Result{OK: true})
	p.SetTargets(at(time.Second), serverTargets(2)[1:])
	p.SetTargets(at(2*time.Second), serverTargets(2))
	assert.Assert(t, p.IsBlocked(at(4900*time.Millisecond), "g000"))
	assert.Assert(t, !p.IsBlocked(at(5*time.Second), "g000"))
}

// Guards against a back-off that ends with the group that the backend server headed, or that holds
// for a new start of the backend server.
func TestBackoffBelongsToTheIncarnation(t *testing.T) {
	p := newServerPicker(2)
	p.RecordBackoff(start, "s0", at(5*time.Second))
	next := serverTargets(3)
	next[0].Server, next[2].Server = "s0-restarted", "s0"
	p.SetTargets(start, next)
	assert.Assert(t, !p.IsBlocked(start, "g000"))
	assert.Assert(t, !p.IsBlocked(start, "g001"))
	assert.Assert(t, p.IsBlocked(start, "g002"))
}

// Guards against requests that wait for a model whose targets are all in a back-off, without
// knowing until when.
func TestTimeOfTheFirstFreeTargetIsKnown(t *testing.T) {
	p := newServerPicker(2)
	p.RecordBackoff(start, "s0", at(5*time.Second))
	assert.Assert(t, p.HasBackoff(start, "m", nil))
	_, _, blocked := p.BlockedUntil(start, Request{Model: "m"})
	assert.Assert(t, !blocked)
	_, limited := p.SendCapacity(start, at(time.Second), "m", nil)
	assert.Assert(t, !limited)

	p.RecordBackoff(start, "s1", at(3*time.Second))
	freeAt, mayUnblockEarly, blocked := p.BlockedUntil(start, Request{Model: "m"})
	assert.Assert(t, blocked && !mayUnblockEarly)
	assert.Equal(t, freeAt, at(3*time.Second))
	capacity, limited := p.SendCapacity(start, at(2*time.Second), "m", nil)
	assert.Assert(t, limited)
	assert.Equal(t, capacity, 0)
	_, limited = p.SendCapacity(start, at(4*time.Second), "m", nil)
	assert.Assert(t, !limited, "g001 is free before")
}

// Guards against a back-off that a rate limit of the same backend server hides, and the reverse.
func TestBackoffAndRateLimitBothHold(t *testing.T) {
	named, cold := NamedLimit(1), ColdLimit(2, 10)
	p := newServerPicker(2)
	p.SetRateLimit(start, "s0", CauseNamed, &named)
	p.SetRateLimit(start, "s1", CauseCold, &cold)
	p.RecordBackoff(start, "s0", at(500*time.Millisecond))
	p.RecordBackoff(start, "s1", at(5*time.Second))
	p.RecordSend(start, "g000")
	assert.Assert(t, p.IsBlocked(at(900*time.Millisecond), "g000"), "by the rate limit")
	assert.Assert(t, !p.IsBlocked(at(time.Second), "g000"))
	assert.Assert(t, p.IsBlocked(at(4900*time.Millisecond), "g001"), "by the back-off")
	_, mayUnblockEarly, blocked := p.BlockedUntil(start, Request{Model: "m"})
	assert.Assert(t, blocked && !mayUnblockEarly)
	capacity, limited := p.SendCapacity(start, at(2500*time.Millisecond), "m", nil)
	assert.Assert(t, limited)
	assert.Equal(t, capacity, 2)
}

// backoffRun is a random sequence of events on one picker. until holds the back-offs in force.
type backoffRun struct {
	random  *rand.Rand
	picker  *Picker
	now     time.Time
	until   map[string]time.Time
	servers map[string]string
	open    []string
	next    int
}

func (r *backoffRun) step(t *testing.T) {
	r.now = r.now.Add(time.Duration(r.random.IntN(100)) * time.Millisecond)
	switch r.random.IntN(6) {
	case 0:
		server := fmt.Sprint("s", r.random.IntN(6))
		until := r.now.Add(time.Duration(r.random.IntN(5000)) * time.Millisecond)
		r.picker.RecordBackoff(r.now, server, until)
		r.until[server] = later(r.until[server], until)
	case 1:
		r.relist()
	case 2:
		r.finish()
	default:
		r.send(t)
	}
}

// relist lists a random part of the targets, under random backend servers.
func (r *backoffRun) relist() {
	list := groups(6)
	clear(r.servers)
	for i := range list {
		list[i].Server = fmt.Sprint("s", r.random.IntN(6))
		r.servers[list[i].ID] = list[i].Server
	}
	r.picker.SetTargets(r.now, list[:1+r.random.IntN(6)])
}

func (r *backoffRun) finish() {
	if len(r.open) == 0 {
		return
	}
	r.picker.RecordFinish(r.now, r.open[0], Result{OK: r.random.IntN(2) == 0, Duration: time.Millisecond})
	r.open = r.open[1:]
}

func (r *backoffRun) send(t *testing.T) {
	request := Request{Model: "m", Session: fmt.Sprint(r.random.IntN(4)), Tokens: 1 + r.random.IntN(12000)}
	c, ok := r.picker.Pick(r.now, request)
	if !ok {
		return
	}
	assert.Assert(t, !r.now.Before(r.until[r.servers[c.ID]]), "%s was chosen in its back-off, reason %s", c.ID, c.Reason)
	id := fmt.Sprint("a", r.next)
	r.next++
	r.open = append(r.open, id)
	r.picker.RecordStart(r.now, id, c.ID, request.Tokens)
}

// Guards against a way of choosing a target that passes over back-offs.
func TestNoRandomChoiceFallsIntoABackoff(t *testing.T) {
	for seed := range uint64(50) {
		r := &backoffRun{
			random: rand.New(rand.NewPCG(seed, 0)), picker: New(Options{Seed: seed, DataCentre: "dc"}), now: start,
			until: make(map[string]time.Time), servers: make(map[string]string),
		}
		r.relist()
		for range 2000 {
			r.step(t)
		}
		assert.Assert(t, r.next > 100, "seed %d: %d requests sent", seed, r.next)
	}
}

// Guards against a fabric domain that is avoided because two of its backend servers work and have
// asked for a back-off: the others would get no request for two seconds.
func TestBackoffIsNoFailureOfTheFabricDomain(t *testing.T) {
	p := newServerPicker(3)
	for i, id := range []string{"g000", "g001"} {
		p.RecordStart(start, id, id, 100)
		p.RecordBackoff(start, fmt.Sprint("s", i), at(5*time.Second))
		p.RecordFinish(start, id, Result{})
	}
	assert.Assert(t, p.HasCapacity(start, Request{Model: "m", Tokens: 100}))
	assert.Equal(t, mustPick(t, p, start, Request{Tokens: 100}).ID, "g002")
}
