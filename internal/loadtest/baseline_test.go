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
func (b *baseline) offer(req *request)                            { b.send(req) }

func (b *baseline) send(req *request) {
	if len(b.targets) == 0 {
		b.w.callers.refused(req, 0)
		return
	}
	id := b.choose(b)
	b.outstanding[id]++
	b.attempts++
	x := &attempt{id: fmt.Sprint(req.id, "#", b.attempts), request: req, tokens: req.job.expected}
	x.onToken = func() { b.w.callers.token(req) }
	x.onEnd = func(ok bool) {
		b.outstanding[id]--
		switch {
		case ok:
			b.w.callers.answer(req)
		case len(req.attempts) < baselineAttempts && !req.isOver:
			b.send(req)
		default:
			b.w.callers.refused(req, 0)
		}
	}
	req.attempts = append(req.attempts, x)
	b.w.engine(id).start(x)
	x.request = req
	req.engine = id
}

func (b *baseline) cancel(req *request) {
	x := req.attempts[len(req.attempts)-1]
	if x.isEnded {
		return
	}
	b.outstanding[req.engine]--
	b.w.engine(req.engine).cancel(x)
}
