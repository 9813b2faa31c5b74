package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// failoverWait is how long a request waits for a serving group when there is none. It is longer
// than replacing a group by a loaded spare takes, and short enough that the caller soon learns
// that no group will come.
const failoverWait = 3 * time.Second

// failoverChecks is how often a waiting request checks within failoverWait whether there is a
// group. The request gives up when this many checks in a row find none.
const failoverChecks = 6

// dispatchInterval is the time between two attempts to dispatch waiting requests when no event
// triggers one. Deadlines pass and backend servers ramp up with time alone.
const dispatchInterval = 20 * time.Millisecond

// dispatcher carries out the decisions of admission and placement. Its one lock guards both; it
// does no I/O.
type dispatcher struct {
	policy admission.Policy
	seed   uint64

	mu     sync.Mutex
	queue  *admission.Queue
	picker *placement.Picker
	// gates holds the admission gate of each model. awaitingFirstEvent holds the model of each
	// attempt that a gate counts and that has not delivered an event yet.
	gates              map[string]*admission.Gate
	awaitingFirstEvent map[string]string
	waiting            map[string]*ticket
	routes             map[string]route
	servedPools        map[string]bool
	// emptySince holds since when pools have had no target. firstRoutesAt is when this entry
	// first set its routes.
	emptySince    map[string]time.Time
	firstRoutesAt time.Time
	// evacuated holds the pools whose targets are all in evacuated data centres.
	evacuated map[string]bool
	// rooms holds how full the groups of each model are.
	rooms map[string]*room
	// policyChanges counts the changes of policy.
	policyChanges uint64
	// changed is closed when the routes change.
	changed chan struct{}
}

// ticket is a request's slot in the queue.
type ticket struct {
	job     *job
	granted chan grant
}

// grant ends a request's wait with the target of an attempt, or with a refusal.
type grant struct {
	attempt string
	route   route
	refused *failure.Error
	// endTurn is set when the attempt runs isolated; it ends the request's turn in isolation.
	endTurn func()
}

// route is a target that attempts may be sent to. It is not a configured route
// (blackboard.Route), which matches callers' requests.
type route struct {
	target string
	// pool is the model, or the name of a plain service.
	pool string
	// dataCentre is where the target's head is, region the region of that.
	dataCentre, region string
	// requestCount is how many requests the target reports, running and queued.
	requestCount int
	address      string
	group        string
	epoch        uint64
	// head and incarnation name the backend server that receives the requests.
	head        string
	incarnation string
	// progress tracks this entry's streams on the group; nil for plain services.
	progress *groupProgress
	// members maps each backend server of the target to its incarnation.
	members map[string]string
	// closesAt is when the target closes because its data centre is evacuated; 0 if it is not.
	closesAt clock.Boot
}

// end ends the turn of an attempt that runs isolated. The holder of a grant calls it when the
// attempt is over or will not be made.
func (g grant) end() {
	if g.endTurn != nil {
		g.endTurn()
	}
}

func newDispatcher(o placement.Options) *dispatcher {
	return &dispatcher{
		seed:               o.Seed,
		queue:              admission.New(admission.Policy{Seed: o.Seed}),
		picker:             placement.New(o),
		gates:              make(map[string]*admission.Gate),
		awaitingFirstEvent: make(map[string]string),
		waiting:            make(map[string]*ticket),
		routes:             make(map[string]route),
		servedPools:        make(map[string]bool),
		emptySince:         make(map[string]time.Time),
		rooms:              make(map[string]*room),
		changed:            make(chan struct{}),
	}
}

// setEntries sets the entries that serve callers' requests.
func (d *dispatcher) setEntries(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.SetEntries(ids)
}

// setRateLimit applies the rate limit that a backend server has for a cause and returns this
// entry's share of it, in requests a second; nil ends the limit.
func (d *dispatcher) setRateLimit(now time.Time, incarnation string, cause placement.Cause, limit *placement.RateLimit) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := d.picker.SetRateLimit(now, incarnation, cause, limit)
	d.dispatchWaiting(now)
	return share
}

// setEvacuated sets the pools whose targets are all in evacuated data centres. Their requests
// are refused at once.
func (d *dispatcher) setEvacuated(pools map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuated = pools
}

// setRoutes replaces the routable targets. quarantined holds the pools that have a target in
// quarantine: their requests wait for it and are not refused.
func (d *dispatcher) setRoutes(now time.Time, routes map[string]route, targets []placement.Target, quarantined map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes = routes
	models := maps.Clone(quarantined)
	for _, t := range targets {
		models[t.Model] = true
	}
	d.trackEmptyPools(now, models)
	d.removeIdleGates()
	d.picker.SetTargets(now, targets)
	close(d.changed)
	d.changed = make(chan struct{})
	d.dispatchWaiting(now)
}

// trackEmptyPools records which pools have a target, and since when the others have had none.
func (d *dispatcher) trackEmptyPools(now time.Time, models map[string]bool) {
	if d.firstRoutesAt.IsZero() {
		d.firstRoutesAt = now
	}
	for model := range d.servedPools {
		if !models[model] {
			d.emptySince[model] = now
		}
	}
	for model := range models {
		delete(d.emptySince, model)
	}
	d.servedPools = models
}

// emptyFor returns for how long a pool has had no target.
func (d *dispatcher) emptyFor(now time.Time, model string) time.Duration {
	if d.servedPools[model] || d.firstRoutesAt.IsZero() {
		return 0
	}
	since, noted := d.emptySince[model]
	if !noted {
		since = d.firstRoutesAt
	}
	return now.Sub(since)
}

// admit offers the job to admission and waits until it may run.
func (d *dispatcher) admit(j *job) (grant, *failure.Error) {
	t, e := d.offer(j)
	if e != nil {
		return grant{}, e
	}
	checks := time.NewTicker(failoverWait / failoverChecks)
	defer checks.Stop()
	routeless := 0
	for {
		select {
		case g := <-t.granted:
			return g, g.refused
		case <-checks.C:
			routeless++
			if d.hasRoute(j) {
				routeless = 0
			}
			if routeless >= failoverChecks {
				return d.withdraw(t, noBackendServer())
			}
		case <-j.ctx.Done():
			return d.withdraw(t, contextEnded(j.ctx))
		}
	}
}

// hasRoute reports whether there is, or will be, a target for the job.
func (d *dispatcher) hasRoute(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.homes == nil {
		return d.servedPools[j.model]
	}
	return d.picker.Serves(j.model, j.homes)
}

func (d *dispatcher) offer(j *job) (*ticket, *failure.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch {
	case d.evacuated[j.model]:
		return nil, evacuatedRefusal(admission.AbsenceRetryAfter(evacuatedRetryAfter, d.emptyFor(now, j.model), j.id))
	case d.emptyFor(now, j.model) > failoverWait:
		// A pool that has not failed over within this time is not about to.
		return nil, noBackendServer().WithRetryAfter(admission.AbsenceRetryAfter(noGroupRetryAfter, d.emptyFor(now, j.model), j.id))
	}
	slots, limited := d.picker.SendCapacity(now, j.placeBy(now), j.model, j.homes)
	if limited && slots == 0 {
		return nil, d.blockedRefusal(now, j)
	}
	decision := d.queue.Offer(now, admission.Request{
		ID: j.id, Workspace: j.workspace, Class: j.class, Model: j.model, Homes: j.homesName(), IdempotencyKey: j.key,
		Tokens: j.tokens(), Arrived: j.arrived, Deadline: j.deadline, RetryBudget: j.retryBudget(),
		OnTimeUntil: d.onTimeUntil(j), MaxPlaceable: slots,
	})
	d.refuseEvicted(decision.Evicted)
	if decision.Refusal != nil {
		return nil, refusal(*decision.Refusal)
	}
	if decision.Joined != "" {
		// The entry attaches resends before they are offered here, so this resend arrived just
		// as the request that it repeats ended.
		return nil, failure.New(failure.TypeInProgress, "an earlier send of the request is about to end on this entry").
			WithRan(failure.RanUnknown).WithRetryAfter(time.Second)
	}
	t := &ticket{job: j, granted: make(chan grant, 1)}
	d.waiting[j.id] = t
	d.dispatchWaiting(now)
	return t, nil
}

// withdraw removes a job from the queue when its wait has ended. If the job was granted an
// attempt at the same moment, withdraw gives the grant back.
func (d *dispatcher) withdraw(t *ticket, why *failure.Error) (grant, *failure.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.queue.Cancel(t.job.id)
	delete(d.waiting, t.job.id)
	select {
	case g := <-t.granted:
		if g.refused == nil {
			d.endAttemptLocked(now, g.attempt, placement.Result{Cancelled: true})
			d.queue.Done(now, admission.Outcome{ID: t.job.id})
		}
	default:
	}
	d.dispatchWaiting(now)
	return grant{}, why
}

// dispatchWaiting sends waiting requests while there is capacity. The caller holds the lock.
func (d *dispatcher) dispatchWaiting(now time.Time) {
	for model, gate := range d.gates {
		d.queue.NewestFirst(model, gate.Limiting())
	}
	for {
		r, expired, ok := d.queue.Next(now, func(r admission.Request) bool {
			return d.gateOf(r.Model).HasCapacity(now) && d.picker.HasCapacity(now, d.waiting[r.ID].job.placementRequest(r.Reserve))
		})
		d.refuseEvicted(expired)
		if !ok {
			return
		}
		d.dispatch(now, r)
	}
}

func (d *dispatcher) dispatch(now time.Time, r admission.Request) {
	t := d.waiting[r.ID]
	delete(d.waiting, r.ID)
	t.job.reserve = r.Reserve
	g, ok := d.pickTarget(now, t.job)
	if !ok {
		g.refused = noBackendServer()
		d.queue.Done(now, admission.Outcome{ID: r.ID})
	}
	t.granted <- g
}

// pickTarget picks the target of the job's next attempt. The caller holds the lock.
func (d *dispatcher) pickTarget(now time.Time, j *job) (grant, bool) {
	return d.pick(now, j, j.placementRequest(j.reserve))
}

// pick picks the target of the job's next attempt for a request to placement. The caller holds the lock.
func (d *dispatcher) pick(now time.Time, j *job, r placement.Request) (grant, bool) {
	c, ok := d.picker.Pick(now, r)
	if !ok {
		return grant{}, false
	}
	g := d.startAttempt(now, j, c.ID)
	j.lines.Info("event", "route", "request", j.id, "attempt", g.attempt, "model", j.model,
		"class", j.class, "workspace", j.workspace, "choice", c.ID, "server", g.route.head, "runner_up", c.RunnerUp, "reason", c.Reason,
		"score", c.Score, "queued_ms", now.Sub(j.arrived).Milliseconds())
	return g, true
}

// startAttempt counts the job's next attempt on a target. The caller holds the lock.
func (d *dispatcher) startAttempt(now time.Time, j *job, target string) grant {
	g := grant{attempt: j.nextAttempt(), route: d.routes[target]}
	d.picker.RecordStart(now, g.attempt, target, j.tokens())
	if j.isGated() {
		d.gateOf(j.model).Sent()
		d.awaitingFirstEvent[g.attempt] = j.model
	}
	return g
}

// refuseEvicted ends the wait of evicted requests. The caller holds the lock.
func (d *dispatcher) refuseEvicted(evicted []admission.Eviction) {
	for _, e := range evicted {
		t, ok := d.waiting[e.Request.ID]
		if !ok {
			continue
		}
		delete(d.waiting, e.Request.ID)
		t.granted <- grant{refused: refusal(e.Refusal)}
	}
}

// counts returns the number of routable targets and of waiting requests.
func (d *dispatcher) counts() (routes, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.routes), len(d.waiting)
}

func (d *dispatcher) allowRetry(budget string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.AllowRetry(time.Now(), budget)
}

func (d *dispatcher) progress(attempt string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.RecordProgress(time.Now(), attempt, tokens)
}

// attemptEnded records the end of an attempt. It returns true with a change of the trust in its backend server.
func (d *dispatcher) attemptEnded(attempt string, r placement.Result) (placement.TrustChange, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	change, isChanged := d.endAttemptLocked(now, attempt, r)
	if change.SetAside > 0 {
		d.refuseBlocked(now)
	}
	d.dispatchWaiting(now)
	return change, isChanged
}

func (d *dispatcher) jobEnded(o admission.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.queue.Done(now, o)
	d.dispatchWaiting(now)
}

func (d *dispatcher) report(now time.Time, target string, l placement.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Report(now, target, l)
}

func (d *dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatchWaiting(now)
}
