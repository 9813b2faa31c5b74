package admission

import (
	"container/heap"
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/invariant"
)

// maxExpiredPerCall bounds the expired requests that one call returns, so that a call stays short
// when thousands expire at once. The next call returns more of them.
const maxExpiredPerCall = 16

// Queue holds the requests of one entry that wait for a backend server.
type Queue struct {
	policy       Policy
	models       map[string]*modelQueue
	modelList    []*modelQueue
	nextModel    int
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

// runningRequest holds the data that Done needs about a request that Next returned.
type runningRequest struct {
	model  string
	class  string
	key    scopedKey
	tokens int
}

// New returns an empty Queue with the given policy.
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

// SetPolicy replaces the policy. Waiting requests are ranked again under the new policy and keep
// their arrival order; the change refuses none of them.
func (q *Queue) SetPolicy(_ time.Time, policy Policy) {
	q.policy = policy.withDefaults()
	for _, m := range q.modelList {
		waiting := m.takeAll()
		for _, it := range waiting {
			it.worth = q.policy.worthOf(it.request)
			m.push(it, q.policy.share(it.request.Workspace))
		}
	}
}

// Offer decides whether r waits, joins a request with the same idempotency key, or is refused.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	r.Tokens = max(1, r.Tokens)
	if id, ok := q.duplicate(r); ok {
		q.counters.Joined++
		return Decision{Joined: id}
	}
	m := q.modelFor(r.queueName())
	m.model = r.Model
	m.tick(now)
	if !q.checkUnusedID(r.ID) {
		return Decision{Refusal: &Refusal{Reason: ReasonIDInUse, RetryAfter: q.policy.MinRetryAfter}}
	}
	it := q.newItem(m, r)
	if refusal := q.refuseOnArrival(now, m, it); refusal != nil {
		return Decision{Refusal: refusal}
	}
	evicted, refusal := q.enforceLimits(now, m, it)
	if refusal != nil {
		return Decision{Refusal: refusal}
	}
	q.insert(now, m, it)
	q.CountAdmitted(now, r)
	q.counters.Queued++
	return Decision{Queued: true, Evicted: evicted}
}

// CountAdmitted counts a request that was admitted elsewhere towards the retry budget.
func (q *Queue) CountAdmitted(now time.Time, r Request) {
	q.retryBudgets.get(now, r.budgetName()).second(now).admitted++
}

func (q *Queue) duplicate(r Request) (string, bool) {
	if r.IdempotencyKey == "" {
		return "", false
	}
	id, ok := q.keys[scopedKey{r.Workspace, r.IdempotencyKey}]
	return id, ok
}

func (q *Queue) modelFor(name string) *modelQueue {
	m := q.models[name]
	if m == nil {
		m = newModelQueue(name)
		q.models[name] = m
		q.modelList = append(q.modelList, m)
	}
	return m
}

// checkUnusedID checks the invariant that no other request has the id. Two requests with one id
// would each end the other's wait, and a caller would get another caller's answer.
func (q *Queue) checkUnusedID(id string) bool {
	_, waits := q.items[id]
	_, runs := q.running[id]
	return invariant.Check(!waits && !runs, "admission_id_unique", "request id %q offered twice", id)
}

func (q *Queue) newItem(m *modelQueue, r Request) *item {
	it := &item{
		request: r,
		worth:   q.policy.worthOf(r),
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

// refuseOnArrival returns a refusal if a new request can't be answered in time, else nil. When
// demand exceeds capacity, a request that waits and then misses its deadline does harm twice: its
// caller learns late, and the work done for it is taken from requests that could still be in
// time.
//
// A request that may just be in time is admitted while nothing waits. For some seconds, one
// request in ten may take three times as long while the others are as quick as ever. With the
// time that nine in ten requests stay within as the only limit, callers with time left were told
// that no server could answer in time, and their next tries got the same refusal.
func (q *Queue) refuseOnArrival(now time.Time, m *modelQueue, it *item) *Refusal {
	wait := m.estimateWait(it, q.policy)
	if places := it.request.MaxPlaceable; places > 0 && m.countAhead(it.worth) >= places {
		return q.refuse(now, m, it, ReasonDeadlineUnreachable, wait)
	}
	if !it.latestStart.IsZero() && now.After(it.latestStart) {
		if m.waiting > 0 || !m.mayBeInTime(now, it) {
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

// mayBeInTime reports whether a request that will probably be late has a chance, or is sent to probe the estimate.
func (m *modelQueue) mayBeInTime(now time.Time, it *item) bool {
	if !now.After(it.latestPossibleStart) {
		return true
	}
	if !m.serviceTimeOf(it.request.Class).takeProbe(now, it.request.Tokens) {
		return false
	}
	it.latestPossibleStart = it.request.Deadline
	return true
}

// enforceLimits keeps the queue bounded. A request of the lowest worth is evicted first. Among
// requests of equal worth, the new one is refused, since it has waited least.
func (q *Queue) enforceLimits(now time.Time, m *modelQueue, it *item) ([]Eviction, *Refusal) {
	workspace := it.request.Workspace
	if q.workspaces[workspace] >= q.policy.workspaceLimit() {
		return q.evictFor(now, m, it, ReasonWorkspaceFull, workspace)
	}
	if q.waiting >= q.policy.QueueRequests {
		return q.evictFor(now, m, it, ReasonQueueFull, "")
	}
	return nil, nil
}

// evictFor evicts the newest request of the lowest worth in favour of a new item, or refuses the
// new item if no waiting request is worth less. If workspace is not empty, only requests of that
// workspace are evicted.
func (q *Queue) evictFor(now time.Time, m *modelQueue, it *item, reason Reason, workspace string) ([]Eviction, *Refusal) {
	victim := q.evictionCandidate(workspace)
	if victim == nil || victim.worth >= it.worth {
		return nil, q.refuse(now, m, it, reason, m.estimateWait(it, q.policy))
	}
	return []Eviction{q.evict(now, victim, ReasonOutranked)}, nil
}

func (q *Queue) evictionCandidate(workspace string) *item {
	var lowest *item
	for _, m := range q.modelList {
		last := m.newestOfLowestWorth(workspace)
		if last != nil && (lowest == nil || last.worth < lowest.worth) {
			lowest = last
		}
	}
	return lowest
}

func (q *Queue) evict(now time.Time, it *item, reason Reason) Eviction {
	m := q.models[it.request.queueName()]
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

// remove removes an item from every index.
func (q *Queue) remove(it *item) {
	q.models[it.request.queueName()].remove(it)
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

// Next returns the request to place now: the one of the highest worth, within the weighted
// shares, among the models for which fits reports capacity. Next also returns the requests that
// can no longer be answered in time; they are refused. For each model, Next calls fits once for
// long and once for short requests, and once more for each lesser class that has earned credit
// and does not fit.
func (q *Queue) Next(now time.Time, fits func(Request) bool) (Request, []Eviction, bool) {
	expired := q.Expire(now)
	var idle *modelQueue
	defer func() { q.removeModel(idle) }()
	for i := range q.modelList {
		m := q.modelList[(q.nextModel+i)%len(q.modelList)]
		m.tick(now)
		if m.isIdle(now) {
			idle = m
		}
		it := m.nextItem(now, q.policy, fits)
		if it == nil {
			continue
		}
		q.nextModel = (q.nextModel + i + 1) % len(q.modelList)
		q.start(m, it)
		return it.request, expired, true
	}
	return Request{}, expired, false
}

// NewestFirst sets whether the requests of a model are served newest first, within the shares of
// their workspaces. Under an overload, the requests that have waited are already late, and
// serving them first would make each newcomer late as well.
func (q *Queue) NewestFirst(model string, on bool) {
	for _, m := range q.modelList {
		if m.model == model {
			m.newestFirst = on
		}
	}
}

// removeModel removes the queue of an idle model. It does nothing if m is nil or has waiting
// requests.
func (q *Queue) removeModel(m *modelQueue) {
	if m == nil || m.waiting > 0 {
		return
	}
	delete(q.models, m.name)
	q.modelList = slices.DeleteFunc(q.modelList, func(other *modelQueue) bool { return other == m })
	q.nextModel = 0
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

// Expire refuses up to maxExpiredPerCall waiting requests that can no longer be answered in time.
// Next calls Expire. An entry whose backend servers have no capacity calls Expire from a timer,
// so that no caller waits for an answer that can't come in time.
func (q *Queue) Expire(now time.Time) []Eviction {
	var expired []Eviction
	for len(q.deadlines) > 0 && len(expired) < maxExpiredPerCall {
		first := q.deadlines[0]
		if !now.After(first.latestStart) {
			break
		}
		expired = append(expired, q.evict(now, first, ReasonExpired))
	}
	return expired
}

// Cancel removes a waiting or running request whose caller has disconnected. It reports whether
// the request was still waiting.
func (q *Queue) Cancel(id string) bool {
	if it, ok := q.items[id]; ok {
		q.remove(it)
		q.counters.Cancelled++
		return true
	}
	q.removeRunning(id)
	return false
}

func (q *Queue) removeRunning(id string) (runningRequest, bool) {
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

// Done records the end of a request that Next returned. It must be called once for each such
// request, unless Cancel was called.
func (q *Queue) Done(now time.Time, o Outcome) {
	run, ok := q.removeRunning(o.ID)
	if !ok || !o.Answered {
		return
	}
	m := q.modelFor(run.model)
	m.tick(now)
	m.serviceRate.addCompleted(run.tokens)
	m.serviceTimeOf(run.class).observe(now, run.tokens, o.Took)
}
