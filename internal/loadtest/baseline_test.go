package loadtest

import (
	"fmt"

	"github.com/citronstep/citronstep/internal/placement"
)

// baselineAttempts bounds the attempts of one request that fail on an engine.
const baselineAttempts = 3

// baseline is a frontend without admission: it sends each request to an engine on arrival, and
// the engines queue the requests.
type baseline struct {
	w           *simulation
	targets     []placement.Target
	outstanding map[string]int
	next        int
	attempts    int
	choose      func(b *baseline) string
}

func roundRobin(b *baseline) string {
	b.next++
	return b.targets[b.next%len(b.targets)].ID
}

func leastOutstanding(b *baseline) string {
	b.next++
	best := ""
	for i := range b.targets {
		id := b.targets[(b.next+i)%len(b.targets)].ID
		if best == "" || b.outstanding[id] < b.outstanding[best] {
			best = id
		}
	}
	return best
}

func newBaseline(choose func(b *baseline) string) func(w *simulation, i int) node {
	return func(w *simulation, i int) node {
		return &baseline{w: w, next: i * 3, outstanding: make(map[string]int), choose: choose}
	}
}

func (b *baseline) setTargets(list []placement.Target)            { b.targets = list }
func (b *baseline) report(string, placement.Load)                 {}
func (b *baseline) cacheEvent(string, uint64, []uint64, []uint64) {}
func (b *baseline) offer(t *request)                              { b.send(t) }

func (b *baseline) send(t *request) {
	if len(b.targets) == 0 {
		b.w.callers.refused(t, 0)
		return
	}
	id := b.choose(b)
	b.outstanding[id]++
	b.attempts++
	x := &attempt{id: fmt.Sprint(t.id, "#", b.attempts), request: t, tokens: t.job.expected}
	x.onToken = func() { b.w.callers.token(t) }
	x.onEnd = func(ok bool) {
		b.outstanding[id]--
		switch {
		case ok:
			b.w.callers.answer(t)
		case len(t.attempts) < baselineAttempts && !t.isOver:
			b.send(t)
		default:
			b.w.callers.refused(t, 0)
		}
	}
	t.attempts = append(t.attempts, x)
	b.w.engine(id).start(x)
	x.request = t
	t.engine = id
}

func (b *baseline) cancel(t *request) {
	x := t.attempts[len(t.attempts)-1]
	if x.isEnded {
		return
	}
	b.outstanding[t.engine]--
	b.w.engine(t.engine).cancel(x)
}
