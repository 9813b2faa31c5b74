package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// failoverWait is how long a request waits for a serving group when there is
// none: longer than it takes to replace a group by a loaded spare, and short
// enough that its caller learns soon that there is nothing to wait for.
const failoverWait = 3 * time.Second

// failoverLooks is how often in that time a waiting request looks whether
// there is a group; it gives up when it saw none that often in a row.
const failoverChecks = 6

// pumpInterval is how often waiting requests are looked at when nothing else
// does: deadlines pass and backend servers ramp up with time alone.
const dispatchInterval = 20 * time.Millisecond

// dispatcher carries out what admission and placement decide. It holds the
// one lock under which they run; it does no I/O.
type dispatcher struct {
	policy admission.Policy
	seed   uint64

	mu     sync.Mutex
	queue  *admission.Queue
	picker *placement.Picker
	// gates are by model; unbegun holds the models of the attempts that they count.
	gates              map[string]*admission.Gate
	awaitingFirstEvent map[string]string
	waiting            map[string]*ticket
	routes             map[string]route
	servedPools        map[string]bool
	// gone holds since when pools have had no target, and lookedAt when this entry
	// first looked.
	emptySince    map[string]time.Time
	firstRoutesAt time.Time
	// evacuated holds the pools whose targets all lie in data centres that are evacuated.
	evacuated map[string]bool
	// changed closes when the routes change.
	changed chan struct{}
}

// ticket is a request's place in the queue.
type ticket struct {
	job     *job
	granted chan grant
}

// grant ends the wait: a first attempt's target, or a refusal.
type grant struct {
	attempt string
	route   route
	refused *failure.Error
	// giveBack is set when the attempt runs alone; it ends the quarantine.
	endTurn func()
}

// route is where an attempt goes.
type route struct {
	target string
	// pool is the model or the plain service.
	pool string
	// region is that of the target's data centre.
	region string
	// busy is how many requests the target reports, running and waiting.
	requestCount int
	address      string
	group        string
	epoch        uint64
	// head and incarnation name the backend server that takes the request.
	head        string
	incarnation string
	// progress is that of the group's streams here; nil for plain services.
	progress *groupProgress
	// members maps each backend server of the target to its incarnation.
	members map[string]string
}

// end ends the quarantine of an attempt that runs alone. Whoever holds a grant
// calls it once the attempt is over or will not be made.
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
		changed:            make(chan struct{}),
	}
}

// setEntries names the entries that take callers' requests.
func (d *dispatcher) setEntries(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.SetEntries(ids)
}

// limitRate puts the rate limit that a backend server has for a cause in force and returns
// this entry's share of it; nil ends the limit.
func (d *dispatcher) setRateLimit(now time.Time, incarnation string, cause placement.Cause, limit *placement.RateLimit) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := d.picker.LimitRate(now, incarnation, cause, limit)
	d.dispatchWaiting(now)
	return share
}

// setEvacuated names the pools whose targets all lie in data centres that are evacuated:
// their requests are refused at once.
func (d *dispatcher) setEvacuated(pools map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuated = pools
}

// setRoutes replaces the routable targets. awaited names the pools that have a
// target in quarantine: their requests wait for it rather than be refused.
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

// noteGone takes in which pools have a target, and notes since when others have none.
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

// goneFor returns for how long a pool has had no target.
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

// enter offers the job to admission and waits until it may run.
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

// hasRoute tells whether there is, or will be, a target for the job.
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
		return nil, evacuatedRefusal()
	case d.emptyFor(now, j.model) > failoverWait:
		// What has not failed over in this time is not about to.
		return nil, noBackendServer()
	}
	slots, limited := d.picker.Places(now, j.placeBy(now), j.model, j.homes)
	if limited && slots == 0 {
		return nil, rateLimitRefusal()
	}
	decision := d.queue.Offer(now, admission.Request{
		ID: j.id, Workspace: j.workspace, Class: j.class, Model: j.model, Homes: j.homesName(), IdempotencyKey: j.key,
		Tokens: j.tokens(), Arrived: j.arrived, Deadline: j.deadline, RetryBudget: j.retryBudget(),
		OnTimeUntil: d.onTimeUntil(j), Places: slots,
	})
	d.refuseEvicted(decision.Evicted)
	if decision.Refusal != nil {
		return nil, refusal(*decision.Refusal)
	}
	if decision.Joined != "" {
		// The entry attaches resends before they come here, so this one raced
		// the end of the request that it repeats.
		return nil, failure.New(failure.TypeInProgress, "the request is about to end here").
			WithRan(failure.RanUnknown).WithRetryAfter(time.Second)
	}
	t := &ticket{job: j, granted: make(chan grant, 1)}
	d.waiting[j.id] = t
	d.dispatchWaiting(now)
	return t, nil
}

// abandon takes a job whose caller is gone out of the queue. It may have been
// granted at the same moment; then the grant is given back.
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

// pump lets waiting requests go while there is room. The lock is held.
func (d *dispatcher) dispatchWaiting(now time.Time) {
	for model, gate := range d.gates {
		d.queue.NewestFirst(model, gate.Limiting())
	}
	for {
		r, expired, ok := d.queue.Next(now, func(r admission.Request) bool {
			return d.gateOf(r.Model).Room(now) && d.picker.HasRoom(now, d.waiting[r.ID].job.placementRequest(r.Reserve))
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

// choose picks the target of the job's next attempt. The lock is held.
func (d *dispatcher) pickTarget(now time.Time, j *job) (grant, bool) {
	c, ok := d.picker.Pick(now, j.placementRequest(j.reserve))
	if !ok {
		return grant{}, false
	}
	g := grant{attempt: j.nextAttempt(), route: d.routes[c.ID]}
	d.picker.Started(now, g.attempt, c.ID, j.tokens())
	if j.isGated() {
		d.gateOf(j.model).Sent()
		d.awaitingFirstEvent[g.attempt] = j.model
	}
	j.lines.Info("event", "route", "request", j.id, "attempt", g.attempt, "model", j.model,
		"class", j.class, "workspace", j.workspace, "choice", c.ID, "server", g.route.head, "runner_up", c.RunnerUp, "reason", c.Reason,
		"score", c.Score, "queued_ms", now.Sub(j.arrived).Milliseconds())
	return g, true
}

// refuse ends the wait of evicted requests. The lock is held.
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

// again picks a target for another attempt of a job that runs already. When
// there is none it waits, as groups fail over within seconds and rate limits leave
// room again.
func (d *dispatcher) nextTarget(j *job, until time.Time) (grant, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		d.mu.Lock()
		now := time.Now()
		g, ok := d.pickTarget(now, j)
		opensAt, isTemporary, throttled := d.picker.Throttled(now, j.placementRequest(j.reserve))
		changed := d.changed
		d.mu.Unlock()
		if ok {
			return g, true
		}
		var open <-chan time.Time
		switch {
		case throttled && opensAt.After(until) && !isTemporary:
			return grant{}, false
		case throttled:
			open = time.After(opensAt.Sub(now))
		default:
			// A target that failed this request once may have come back.
			j.tried = nil
		}
		select {
		case <-open:
		case <-changed:
		case <-timer.C:
			return grant{}, false
		case <-j.ctx.Done():
			return grant{}, false
		}
	}
}

// sentAlone notes a request that runs alone on a target.
func (d *dispatcher) noteIsolated(now time.Time, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Sent(now, target)
}

// idlest returns the routable target of a pool, in the homes given, that reports the least work, of those whose
// backend servers take a request now.
func (d *dispatcher) leastBusy(pool string, homes []string) (route, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	best, found := route{}, false
	for _, r := range d.routes {
		if r.pool != pool || !allowsRegion(homes, r.region) || d.picker.Shut(now, r.target) {
			continue
		}
		if !found || r.requestCount < best.requestCount || (r.requestCount == best.requestCount && r.target < best.target) {
			best, found = r, true
		}
	}
	return best, found
}

// counts returns the routable targets and the waiting requests.
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
	d.picker.Progress(time.Now(), attempt, tokens)
}

func (d *dispatcher) attemptEnded(attempt string, r placement.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.endAttemptLocked(now, attempt, r)
	d.dispatchWaiting(now)
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
