package controller

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

type event struct {
	at  time.Time
	n   int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].n < q[j].n
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simEntry is a process with a table of evidence; one of these processes leads.
type simEntry struct {
	id    string
	table *evidence.Table
	// cut is true if no message reaches the process or leaves it.
	cut     bool
	board   *blackboard.Board
	cursors map[string]evidence.Cursor
}

// world is the system under test on a virtual clock: the real board, controllers and evidence,
// with fake engines, weight store and network.
type world struct {
	t       testing.TB
	seed    int64
	rng     *rand.Rand
	now     time.Time
	queue   eventQueue
	n       int
	board   *blackboard.Board
	engines []*simEngine
	byID    map[string]*simEngine
	entries []*simEntry
	store   []*simFetch
	// storeSeconds is how long one VM's weights take from the store alone, and localLoad how long
	// the rest of a load takes.
	storeSeconds float64
	localLoad    time.Duration
	// leaders ends with the present leader. The earlier leaders whose lease has not ended still
	// use the blackboard as it was.
	leaders []*simLeader
	policy  policy
	failed  string
	score   score
	// onMove is called when a group has changed its state.
	onMove func(g blackboard.Group)
}

// simLeader is one process in one term.
type simLeader struct {
	entry  int
	term   uint64
	memory *Memory
	board  *blackboard.Board
	until  time.Time
}

// score adds up the two measures, groups down and stranded accelerators.
type score struct {
	// down is seconds of wanted replicas not working, by spec.
	down map[string]float64
	// stranded is seconds of live accelerators in no working group.
	stranded float64
}

const (
	simLease    = time.Second
	simEntries  = 3
	controlTick = 300 * time.Millisecond
	scoreTick   = 200 * time.Millisecond
)

var simStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func newWorld(t testing.TB, seed int64, domains, perDomain int, p policy, config blackboard.ConfigChange) *world {
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewSource(seed)), now: simStart, policy: p,
		board: blackboard.New(), byID: make(map[string]*simEngine), score: score{down: make(map[string]float64)},
		storeSeconds: 2, localLoad: 3 * time.Second,
	}
	config.ChangeID = "initial"
	w.propose(&blackboard.Found{ClusterID: "c", Initial: config})
	assert.Assert(t, w.board.Config.Revision == 1, "the configuration was refused")
	for i := range simEntries {
		id := fmt.Sprintf("entry-%d", i)
		w.entries = append(w.entries, &simEntry{
			id: id, table: evidence.NewTable(id, 1), board: w.board, cursors: make(map[string]evidence.Cursor),
		})
		w.propose(&blackboard.PutEntry{Entry: blackboard.Entry{ID: id}})
	}
	for d := range domains {
		for i := range perDomain {
			e := &simEngine{
				w: w, id: fmt.Sprintf("vm-%d-%02d", d, i), domain: fmt.Sprintf("domain-%d", d), accelerators: 4,
				fencing: w.rng.Intn(2) == 0, entry: w.rng.Intn(simEntries), weights: make(map[string]bool),
			}
			e.start()
			w.engines = append(w.engines, e)
			w.byID[e.id] = e
			w.after(w.upTo(400*time.Millisecond), e.announce)
		}
	}
	w.lead(0)
	w.after(evidence.DigestInterval, w.exchange)
	w.after(controlTick, w.control)
	w.after(storeTick, w.storeStep)
	w.after(scoreTick, w.observe)
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.failed == "" {
		w.failed = fmt.Sprintf("seed %d at %s: ", w.seed, w.now.Sub(simStart)) + fmt.Sprintf(format, args...)
	}
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int63n(int64(d))) }

func (w *world) after(d time.Duration, f func()) {
	w.n++
	heap.Push(&w.queue, event{w.now.Add(d), w.n, f})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && w.failed == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) propose(c blackboard.Command) {
	data, err := blackboard.Encode(c)
	assert.NilError(w.t, err)
	next, _, err := w.board.Apply(data)
	if err != nil {
		w.fail("command %s: %v", data, err)
	}
	if next.Revision == w.board.Revision {
		return
	}
	if move, ok := c.(*blackboard.SetGroupState); ok && w.onMove != nil {
		w.onMove(next.Groups[move.Group])
	}
	w.board = next
}

// change applies an operator's change against the present revision.
func (w *world) change(c blackboard.ConfigChange) {
	c.ChangeID = fmt.Sprintf("change-%d", w.n)
	w.n++
	c.Expect = w.board.Config.Revision
	w.propose(&c)
}

// lead makes a process the leader of a new term. The previous leader continues until its lease
// ends, unable to change the blackboard.
func (w *world) lead(i int) {
	l := &simLeader{
		entry: i, term: uint64(len(w.leaders)) + 1, memory: NewMemory(w.now, simLease),
		until: w.now.Add(simLease),
	}
	l.memory.policy = w.policy
	w.leaders = append(w.leaders, l)
}

func (w *world) leader() *simLeader { return w.leaders[len(w.leaders)-1] }

// exchange makes each process request the digest of each other process.
func (w *world) exchange() {
	defer w.after(evidence.DigestInterval, w.exchange)
	for _, a := range w.entries {
		_, a.cursors[a.id] = a.table.Digest(w.now, a.cursors[a.id])
		if a.cut {
			continue
		}
		a.board = w.board
		for _, b := range w.entries {
			if a == b || b.cut {
				continue
			}
			digest, next := b.table.Digest(w.now, a.cursors[b.id])
			a.table.Merge(w.now, b.id, digest)
			a.cursors[b.id] = next
		}
	}
}

func (w *world) control() {
	defer w.after(controlTick, w.control)
	present := w.leader()
	for _, l := range w.leaders {
		cut := w.entries[l.entry].cut
		if l == present && !cut {
			l.until = w.now.Add(simLease)
			l.board = w.board
		}
		if l.board == nil || w.now.After(l.until) {
			continue
		}
		w.act(l, l == present, cut)
	}
}

// act runs the controllers of one leader.
func (w *world) act(l *simLeader, present, cut bool) {
	actions := Run(View{
		Board: l.board, Evidence: w.entries[l.entry].table, Memory: l.memory, Term: l.term, LeaseUntil: l.until,
	}, w.now)
	for _, o := range actions.Orders {
		if !o.Deadline.Before(l.until) {
			w.fail("the deadline of an order is after the end of the lease")
		}
		if !cut {
			w.deliver(l, o)
		}
	}
	if !present || cut {
		return
	}
	for _, c := range actions.Commands {
		w.checkCommand(c)
		w.propose(c)
	}
}

// checkCommand compares the claims of a command with the true state of the engines. A VM that is
// freed must no longer run the epoch, unless it took up the epoch again through an order
// delivered after its deadline. A group must go into service only when each member has just been
// ready in it.
func (w *world) checkCommand(c blackboard.Command) {
	switch c := c.(type) {
	case *blackboard.FreeVM:
		e := w.byID[c.VM]
		if e.up && e.group == c.Group && e.epoch == c.Epoch && !e.loadedLate {
			w.fail("%s is freed while it runs %s/%d", e.id, c.Group, c.Epoch)
		}
	case *blackboard.SetGroupState:
		if c.To == blackboard.Serving {
			w.checkMembers("blackboard", w.board.Groups[c.Group])
		}
	}
}

// deliver delivers an order. One in ten is late within its deadline. One in twenty is so late
// that its deadline, and perhaps its leader's term, has ended.
func (w *world) deliver(l *simLeader, o PlannedOrder) {
	delay := time.Millisecond + w.upTo(10*time.Millisecond)
	switch n := w.rng.Intn(20); {
	case n == 0:
		delay += w.upTo(8 * time.Second)
	case n < 3:
		delay += w.upTo(o.Deadline.Sub(w.now))
	}
	w.after(delay, func() {
		w.byID[o.VM].take(o, func(reply backend.OrderReply) {
			w.after(time.Millisecond, func() {
				if w.now.Before(o.Deadline) {
					l.memory.RecordAnswer(w.now, o, reply, nil)
				}
			})
		})
	})
}

// observe checks the invariants and adds to the score.
func (w *world) observe() {
	defer w.after(scoreTick, w.observe)
	for _, e := range w.engines {
		e.recordReady()
	}
	for _, n := range w.entries {
		for _, id := range sortedKeys(n.board.Groups) {
			if ok, _ := n.table.Routable(w.now, n.board, id); ok {
				w.checkMembers(n.id, n.board.Groups[id])
			}
		}
	}
	w.measure()
}

// checkMembers checks that no group is routable while a member has been missing for longer than
// the freshness bound.
func (w *world) checkMembers(who string, g blackboard.Group) {
	for _, m := range g.Members {
		e := w.byID[m.VM]
		if e.isReadyIn(m.Incarnation, g.ID, g.Epoch) {
			continue
		}
		if missing := w.now.Sub(e.lastReady); missing > evidence.RoutableAge+scoreTick {
			w.fail("%s routes to %s/%d while %s is missing for %s", who, g.ID, g.Epoch, m.VM, missing)
		}
	}
}

// isWorking reports whether a group really serves.
func (w *world) isWorking(g blackboard.Group) bool {
	if g.State != blackboard.Serving {
		return false
	}
	for _, m := range g.Members {
		if !w.byID[m.VM].isReadyIn(m.Incarnation, g.ID, g.Epoch) {
			return false
		}
	}
	return true
}

func (w *world) measure() {
	live := 0
	for _, e := range w.engines {
		if e.up && !e.dark {
			live += e.accelerators
		}
	}
	working := make(map[string]int)
	for _, g := range w.board.Groups {
		if w.isWorking(g) {
			working[g.Spec]++
			live -= len(g.Members) * 4
		}
	}
	for spec := range w.board.Config.Groups {
		if down := w.board.Config.GroupReplicas(spec) - working[spec]; down > 0 {
			w.score.down[spec] += float64(down) * scoreTick.Seconds()
		}
	}
	w.score.stranded += float64(live) * scoreTick.Seconds()
}

// matchesBoard reports whether engines run only the epochs that the blackboard assigns to them.
func (w *world) matchesBoard() bool {
	for _, e := range w.engines {
		row := w.board.VMs[e.id]
		if e.group != "" && (e.group != row.Group || e.epoch != row.Epoch) {
			return false
		}
	}
	return true
}

// allServing reports whether each spec has its wanted replicas working.
func (w *world) allServing() bool {
	working := make(map[string]int)
	for _, g := range w.board.Groups {
		if w.isWorking(g) {
			working[g.Spec]++
		}
	}
	for spec := range w.board.Config.Groups {
		if working[spec] < w.board.Config.GroupReplicas(spec) {
			return false
		}
	}
	return true
}
