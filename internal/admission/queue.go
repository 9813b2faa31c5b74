package admission

import (
	"container/heap"
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/invariant"
)

// maxEvictions bounds the expired requests that one call returns, so that a
// decision stays short when thousands expire at once; the next call goes on.
const maxEvictions = 16

// Queue holds the requests of one entry that wait for a backend server.
type Queue struct {
	policy       Policy
	models       map[string]*modelQueue
	order        []*modelQueue
	turn         int
	items        map[string]*item
	keys         map[scopedKey]string
	running      map[string]runningRequest
	deadlines    deadlineHeap
	workspaces   map[string]int
	refused      refusedKeys
	retryBudgets retryBudgets
	waiting      int
	counters     Counters
}

// scopedKey is an idempotency key within its workspace.
type scopedKey struct {
	workspace, key string
}

// runningRequest is what Done needs of a request that Next returned.
type runningRequest struct {
	model  string
	class  string
	key    scopedKey
	tokens int
}

// New returns an empty Queue under policy.
func New(policy Policy) *Queue {
	policy = policy.withDefaults()
	return &Queue{
		policy:       policy,
		models:       make(map[string]*modelQueue),
		items:        make(map[string]*item),
		keys:         make(map[scopedKey]string),
		running:      make(map[string]runningRequest),
		workspaces:   make(map[string]int),
		refused:      newRefusedKeys(),
		retryBudgets: make(retryBudgets),
	}
}

// SetPolicy puts another policy in force. Requests that wait are ranked again
// under it and keep their arrival order; none is refused by the change.
func (q *Queue) SetPolicy(_ time.Time, policy Policy) {
	q.policy = policy.withDefaults()
	for _, m := range q.order {
		waiting := m.takeAll()
		for _, it := range waiting {
			it.worth = q.policy.Worth(it.request.Workspace, it.request.Class)
			m.push(it, q.policy.share(it.request.Workspace))
		}
	}
}

// Offer decides whether r waits, joins a request with the same idempotency
// key, or is refused.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	r.Tokens = max(1, r.Tokens)
	if id, ok := q.duplicate(r); ok {
		q.counters.Joined++
		return Decision{Joined: id}
	}
	m := q.model(r.queue())
	m.model = r.Model
	m.tick(now)
	if !q.unused(r.ID) {
		return Decision{Refusal: &Refusal{Reason: ReasonIDInUse, RetryAfter: q.policy.MinRetryAfter}}
	}
	it := q.newItem(m, r)
	if refusal := q.refuseAtDoor(now, m, it); refusal != nil {
		return Decision{Refusal: refusal}
	}
	evicted, refusal := q.makeRoom(now, m, it)
	if refusal != nil {
		return Decision{Refusal: refusal}
	}
	q.insert(now, m, it)
	q.retryBudgets.get(now, r.budgetName()).second(now).admitted++
	q.counters.Queued++
	return Decision{Queued: true, Evicted: evicted}
}

func (q *Queue) duplicate(r Request) (string, bool) {
	if r.IdempotencyKey == "" {
		return "", false
	}
	id, ok := q.keys[scopedKey{r.Workspace, r.IdempotencyKey}]
	return id, ok
}

func (q *Queue) model(name string) *modelQueue {
	m := q.models[name]
	if m == nil {
		m = newModelQueue(name)
		q.models[name] = m
		q.order = append(q.order, m)
	}
	return m
}

// unused asserts that no other request has the id. Two requests under one id
// would each end the other's wait, and a caller would get a foreign answer.
func (q *Queue) unused(id string) bool {
	_, waits := q.items[id]
	_, runs := q.running[id]
	return invariant.Check(!waits && !runs, "admission_id_unique", "request id %q offered twice", id)
}

func (q *Queue) newItem(m *modelQueue, r Request) *item {
	it := &item{
		request: r,
		worth:   q.policy.Worth(r.Workspace, r.Class),
		isLong:  r.Tokens >= q.policy.LongTokens,
		index:   notInHeap,
	}
	if !r.Deadline.IsZero() {
		e := m.serviceTimeOf(r.Class).estimate(r.Tokens)
		it.latestStart = r.Deadline.Add(-e.upper)
		it.latestPossibleStart = r.Deadline.Add(-e.lower)
		it.margin = e.margin
	}
	return it
}

// refuseAtDoor is made for demand above capacity. It refuses at once what
// can't be answered in time, because a request that waits and then misses its
// deadline harms twice: its caller learns late, and the work done for it is
// taken from requests that could still be in time.
//
// One that may just be in time is let in while nothing waits. Load: for some seconds
// one request in ten takes three times as long, and the others are as quick as
// ever. Harm of going by what nine in ten end within: callers with time left were told
// that no server could answer in it, and of their next tries the same was said.
func (q *Queue) refuseAtDoor(now time.Time, m *modelQueue, it *item) *Refusal {
	wait := m.estimateWait(it, q.policy)
	if places := it.request.Places; places > 0 && m.countAhead(it.worth) >= places {
		return q.refuse(now, m, it, ReasonDeadlineUnreachable, wait)
	}
	if !it.latestStart.IsZero() && now.After(it.latestStart) {
		if m.waiting > 0 || now.After(it.latestPossibleStart) {
			return q.refuse(now, m, it, ReasonDeadlinePassed, 0)
		}
		it.latestStart, wait = it.latestPossibleStart, 0
	}
	if left, isEarly := q.refused.remaining(now, it.request); isEarly && wait > 0 {
		q.counters.Refused++
		return &Refusal{Reason: ReasonTooEarly, RetryAfter: left}
	}
	if wait > 0 && !it.latestStart.IsZero() && now.Add(wait+it.margin).After(it.latestStart) {
		excess := wait + it.margin - it.latestStart.Sub(now)
		return q.refuse(now, m, it, ReasonDeadlineUnreachable, excess)
	}
	return nil
}

// makeRoom keeps the queue bounded. The lowest worth goes first; among equal
// worth the request that came last stays out, since it has waited least.
func (q *Queue) makeRoom(now time.Time, m *modelQueue, it *item) ([]Eviction, *Refusal) {
	workspace := it.request.Workspace
	if q.workspaces[workspace] >= q.policy.workspaceLimit() {
		return q.replace(now, m, it, ReasonWorkspaceFull, workspace)
	}
	if q.waiting >= q.policy.QueueRequests {
		return q.replace(now, m, it, ReasonQueueFull, "")
	}
	return nil, nil
}

// replace throws out the newest request of the lowest worth (of one workspace
// if one is named) in favour of it, or refuses it if nothing is worth less.
func (q *Queue) replace(now time.Time, m *modelQueue, it *item, reason Reason, workspace string) ([]Eviction, *Refusal) {
	victim := q.lowest(workspace)
	if victim == nil || victim.worth >= it.worth {
		return nil, q.refuse(now, m, it, reason, m.estimateWait(it, q.policy))
	}
	return []Eviction{q.evict(now, victim, ReasonOutranked)}, nil
}

func (q *Queue) lowest(workspace string) *item {
	var lowest *item
	for _, m := range q.order {
		last := m.newestOfLowestWorth(workspace)
		if last != nil && (lowest == nil || last.worth < lowest.worth) {
			lowest = last
		}
	}
	return lowest
}

func (q *Queue) evict(now time.Time, it *item, reason Reason) Eviction {
	m := q.models[it.request.queue()]
	q.remove(it)
	refusal := q.refuse(now, m, it, reason, m.estimateWait(it, q.policy))
	q.counters.Evicted++
	return Eviction{Request: it.request, Refusal: *refusal}
}

func (q *Queue) refuse(now time.Time, m *modelQueue, it *item, reason Reason, base time.Duration) *Refusal {
	q.counters.Refused++
	after := m.retryAfter(now, it, base, q.policy)
	q.refused.add(it.request, now.Add(after))
	return &Refusal{Reason: reason, RetryAfter: after}
}

func (q *Queue) insert(now time.Time, m *modelQueue, it *item) {
	m.lastUsed = now
	m.push(it, q.policy.share(it.request.Workspace))
	m.recordArrival(it)
	q.items[it.request.ID] = it
	q.workspaces[it.request.Workspace]++
	q.waiting++
	if it.request.IdempotencyKey != "" {
		q.keys[keyOf(it.request)] = it.request.ID
	}
	if !it.latestStart.IsZero() {
		heap.Push(&q.deadlines, it)
	}
}

func keyOf(r Request) scopedKey {
	return scopedKey{r.Workspace, r.IdempotencyKey}
}

// remove takes it out of every index.
func (q *Queue) remove(it *item) {
	q.models[it.request.queue()].remove(it)
	if it.index != notInHeap {
		heap.Remove(&q.deadlines, it.index)
	}
	delete(q.items, it.request.ID)
	q.waiting--
	q.workspaces[it.request.Workspace]--
	if q.workspaces[it.request.Workspace] == 0 {
		delete(q.workspaces, it.request.Workspace)
	}
	if it.request.IdempotencyKey != "" {
		delete(q.keys, keyOf(it.request))
	}
}

// Next returns the request to place now: the one of highest worth, within the
// weighted shares, among models for which fits finds room. It also returns
// requests that can't be answered in time any more, which are refused. fits is
// asked once a model for long and for short requests, and once more for each
// lesser class whose credit is due and that doesn't fit.
func (q *Queue) Next(now time.Time, fits func(Request) bool) (Request, []Eviction, bool) {
	expired := q.Expire(now)
	var idle *modelQueue
	defer func() { q.drop(idle) }()
	for i := range q.order {
		m := q.order[(q.turn+i)%len(q.order)]
		m.tick(now)
		if m.isIdle(now) {
			idle = m
		}
		it := m.nextItem(now, q.policy, fits)
		if it == nil {
			continue
		}
		q.turn = (q.turn + i + 1) % len(q.order)
		q.start(m, it)
		return it.request, expired, true
	}
	return Request{}, expired, false
}

// NewestFirst sets whether requests of a model are served newest first within
// their workspaces' shares: under an overload what has waited is late already, and
// served first it makes each newcomer late as well.
func (q *Queue) NewestFirst(model string, on bool) {
	for _, m := range q.order {
		if m.model == model {
			m.newestFirst = on
		}
	}
}

// drop forgets a model that nobody asks for any more.
func (q *Queue) drop(m *modelQueue) {
	if m == nil || m.waiting > 0 {
		return
	}
	delete(q.models, m.name)
	q.order = slices.DeleteFunc(q.order, func(o *modelQueue) bool { return o == m })
	q.turn = 0
}

func (q *Queue) start(m *modelQueue, it *item) {
	m.recordServed(it, q.policy)
	q.remove(it)
	run := runningRequest{model: m.name, class: it.request.Class, tokens: it.request.Tokens}
	if it.request.IdempotencyKey != "" {
		run.key = keyOf(it.request)
		q.keys[run.key] = it.request.ID
	}
	q.running[it.request.ID] = run
	q.counters.Started++
}

// Expire refuses up to maxEvictions waiting requests that can't be answered
// in time any more. Next calls it; an entry whose backend servers have no room
// calls it from a timer, so that no caller waits for an answer already lost.
func (q *Queue) Expire(now time.Time) []Eviction {
	var expired []Eviction
	for len(q.deadlines) > 0 && len(expired) < maxEvictions {
		first := q.deadlines[0]
		if !now.After(first.latestStart) {
			break
		}
		expired = append(expired, q.evict(now, first, ReasonExpired))
	}
	return expired
}

// Cancel removes a waiting or running request whose caller is gone. It tells
// whether the request was still waiting.
func (q *Queue) Cancel(id string) bool {
	if it, ok := q.items[id]; ok {
		q.remove(it)
		q.counters.Cancelled++
		return true
	}
	q.forget(id)
	return false
}

func (q *Queue) forget(id string) (runningRequest, bool) {
	run, ok := q.running[id]
	if !ok {
		return run, false
	}
	delete(q.running, id)
	if q.keys[run.key] == id {
		delete(q.keys, run.key)
	}
	return run, true
}

// Done reports the end of a request that Next returned. It must be called once
// for each, unless Cancel was.
func (q *Queue) Done(now time.Time, o Outcome) {
	run, ok := q.forget(o.ID)
	if !ok || !o.Answered {
		return
	}
	m := q.model(run.model)
	m.tick(now)
	m.serviceRate.addCompleted(run.tokens)
	m.serviceTimeOf(run.class).observe(run.tokens, o.Took)
}
