package controlclient

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// surveySimulation simulates, on a virtual clock, entries that all start at once and call
// control processes. Each process replies in the order of arrival, even to callers that have
// given up.
type surveySimulation struct {
	now    time.Duration
	due    events
	free   []time.Duration
	answer time.Duration
	asked  int
	served int
	// lastServed is when the last entry got its reply.
	lastServed time.Duration
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *surveySimulation) after(d time.Duration, do func()) { heap.Push(&s.due, event{s.now + d, do}) }

// run processes events until the time until or until all entries have got a reply.
func (s *surveySimulation) run(entries int, until time.Duration) {
	for len(s.due) > 0 && s.served < entries && s.now < until {
		next := heap.Pop(&s.due).(event)
		s.now = next.at
		next.do()
	}
}

// simulatedEntry is the survey of one entry.
type simulatedEntry struct {
	s      *surveySimulation
	order  []int
	pace   pace
	served bool
}

func (a *simulatedEntry) widen() {
	if a.served || len(a.order) == 0 {
		return
	}
	process := a.order[0]
	a.order = a.order[1:]
	a.ask(process, &pace{})
	a.s.after(a.pace.step(len(a.s.free)), a.widen)
}

func (a *simulatedEntry) ask(process int, p *pace) {
	if a.served {
		return
	}
	a.s.asked++
	done := max(a.s.now, a.s.free[process]) + a.s.answer
	a.s.free[process] = done
	took, timeout := done-a.s.now, p.timeout()
	if took <= timeout {
		a.s.after(took, a.finish)
		return
	}
	a.s.after(timeout, func() {
		a.s.after(p.pause(context.DeadlineExceeded), func() { a.ask(process, p) })
	})
}

// finish ends the survey: the reply names the leader.
func (a *simulatedEntry) finish() {
	if a.served {
		return
	}
	a.served = true
	a.s.served++
	a.s.lastServed = a.s.now
}

// Guards against overload by repeated calls. Two thousand entries start at once, and the
// control processes work on calls whose callers have given up, for as long as the entries
// repeat them.
func TestControlProcessesKeepUpWithEntriesThatStartTogether(t *testing.T) {
	const entries, processes = 2000, 10
	s := &surveySimulation{free: make([]time.Duration, processes), answer: time.Millisecond}
	random := rand.New(rand.NewPCG(1, 2))
	for range entries {
		a := &simulatedEntry{s: s, order: random.Perm(processes)}
		s.after(0, a.widen)
	}
	s.run(entries, time.Minute)
	assert.Equal(t, s.served, entries)
	assert.Assert(t, s.asked <= 6*entries, "%d questions", s.asked)
	assert.Assert(t, s.lastServed <= 2*time.Second, "%s", s.lastServed)
}

// Guards against surveys that ignore the number of entries. While there is no leader, all
// entries would repeat their calls at the rate of a small site.
func TestSurveyIntervalsGrowWithTheNumberOfEntries(t *testing.T) {
	var few, many pace
	few.observe(&noderpc.LastKnownReply{Entries: 9})
	many.observe(&noderpc.LastKnownReply{Entries: 2000})
	assert.Equal(t, few.pause(nil), lastKnownRepeatInterval)
	assert.Equal(t, many.pause(nil), 2*time.Second)
	assert.Equal(t, few.step(3), lastKnownStepInterval)
	assert.Equal(t, many.step(10), 200*time.Millisecond)
}
