// Package coordination holds the one queue in which the requests of all entries for a model wait
// while the model is short of room.
//
// Situation: 58 to 1,000 entries receive a few requests a second of a model each. While requests
// arrive faster than the groups begin them, each entry's own queue holds one request or none, so
// order of worth, shares of workspaces and limits of groups act on nothing. One entry, the
// coordinator, is chosen for each model, or for each part of a large model's groups, by
// rendezvous hashing over the live entries. It grants groups to the requests of all entries in
// order; the bodies stay at the entries and go straight to the granted group.
//
// Input: waiting requests, ends of grants and loads that groups report, a few hundred
// milliseconds old. Output: grants and refusals. The order is that of admission.Queue, the choice
// of the group that of placement.Picker, in which each request counts as one and the limits are
// given by the caller.
//
// The package decides; it has no I/O, goroutines or clock: the caller passes the current time to
// each method. It is not safe for concurrent use.
package coordination

import (
	"time"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/placement"
)

// Request is one waiting request of some entry. Times are of the coordinator's clock.
type Request struct {
	ID, Entry        string
	Class, Workspace string
	Homes            []string
	Tokens           int
	// OnTimeUntil is the latest grant with which the first event is on time; zero without an
	// objective. Deadline is when the complete answer is due.
	OnTimeUntil, Deadline time.Time
	Exclude               []string
}

// Grant lets one request be sent to one group. It ends when the entry reports the end of the
// request, or at Expires.
type Grant struct {
	Number  uint64
	Request string
	Entry   string
	Group   string
	Expires time.Time
}

// Group is a serving group that the coordinator grants. Limit is how many requests it may run
// and queue.
type Group struct {
	ID, DataCentre, Region, FabricDomain string
	Limit                                int
}

// Load is what a group's head reported: the requests that it ran and queued at a time.
type Load struct {
	Running, Queued int
	At              time.Time
}

// Decision ends the wait of a request: by a grant, by a refusal, or, with neither, because the
// coordinator has no group for it and the entry must decide.
type Decision struct {
	Request Request
	Grant   *Grant
	Refusal *admission.Refusal
	// Load and Limit are the estimated load of the granted group and its limit, in requests;
	// Age is the age of its last report, negative without one. Waiting is how many requests wait.
	Load, Limit float64
	Age         time.Duration
	Waiting     int
}

// Options are the settings of a Coordinator.
type Options struct {
	Model  string
	Policy admission.Policy
	Seed   uint64
	// FirstGrant is the number of the first grant. It differs between the lives of a process,
	// so that the end of an older grant ends no other one.
	FirstGrant uint64
	// UsualTime is the mean time of a request on a group; 0 if unknown.
	UsualTime time.Duration
	// Ramp is the time over which the limit of a group that joins rises to its full value.
	Ramp time.Duration
}

// Coordinator grants the groups of one model, or of one part of them.
type Coordinator struct {
	model   string
	policy  admission.Policy
	queue   *admission.Queue
	picker  *placement.Picker
	groups  map[string]*group
	waiting map[string]*waiter
	grants  map[uint64]*heldGrant
	granted map[string]uint64
	next    uint64
	sweepAt time.Time
	rates   rates
	// usualTime is Options.UsualTime.
	usualTime time.Duration
	// surplusAt is the time of the next search for requests that can't be served.
	surplusAt time.Time
}

// group is the state of a Group.
type group struct {
	Group
	// reportedAt is the time of its last report; limited is the limit in force.
	reportedAt time.Time
	limited    int
}

// heldGrant is a grant that has not ended.
type heldGrant struct {
	Grant
	key   string
	since time.Time
}

const (
	// reportsFor is the age at which a group's last report counts no more. Under shortage each
	// answer carries a report, so a group without one for this long is unknown.
	reportsFor = 2 * time.Second
	// unknownFraction is the part of its limit that an unknown group may get by grants alone:
	// a coordinator that has just begun can't tell what the group runs already.
	unknownFraction = 0.25
	// sweepInterval is the time between two searches for expired grants and old reports.
	sweepInterval = 100 * time.Millisecond
)

// New returns a coordinator without groups.
func New(o Options) *Coordinator {
	return &Coordinator{
		model:   o.Model,
		policy:  o.Policy,
		queue:   admission.New(o.Policy),
		picker:  placement.New(placement.Options{Seed: o.Seed, SoleSender: true, UsualTime: o.UsualTime, Ramp: o.Ramp}),
		groups:  make(map[string]*group),
		waiting: make(map[string]*waiter),
		grants:  make(map[uint64]*heldGrant),
		granted: make(map[string]uint64),
		next:    o.FirstGrant,

		usualTime: o.UsualTime,
	}
}

// SetPolicy replaces the order of worth and the shares.
func (c *Coordinator) SetPolicy(now time.Time, p admission.Policy) {
	c.policy = p
	c.queue.SetPolicy(now, p)
}

// SetGroups replaces the groups. Grants of a group that is gone stay until they end.
func (c *Coordinator) SetGroups(now time.Time, list []Group) {
	groups := make(map[string]*group, len(list))
	for _, g := range list {
		known := c.groups[g.ID]
		if known == nil {
			known = &group{}
		}
		known.Group = g
		groups[g.ID] = known
	}
	c.groups = groups
	c.applyLimits(now)
}

// applyLimits sets the limits in force: a part of the limit for a group of unknown load.
func (c *Coordinator) applyLimits(now time.Time) {
	targets := make([]placement.Target, 0, len(c.groups))
	for id, g := range c.groups {
		g.limited = g.limitAt(now)
		targets = append(targets, placement.Target{
			ID: id, Server: id, DataCentre: g.DataCentre, Region: g.Region, FabricDomain: g.FabricDomain,
			Model: c.model, Capacity: g.limited, Plain: true,
		})
	}
	c.picker.SetTargets(now, targets)
}

func (g *group) limitAt(now time.Time) int {
	if now.Sub(g.reportedAt) <= reportsFor {
		return max(1, g.Limit)
	}
	return max(1, int(unknownFraction*float64(g.Limit)))
}

// Report applies a load that a group's head reported. Reports of other groups are ignored.
func (c *Coordinator) Report(now time.Time, id string, l Load) {
	g := c.groups[id]
	if l.At.After(now) {
		l.At = now
	}
	if g == nil || !l.At.After(g.reportedAt) || now.Sub(l.At) > reportsFor {
		return
	}
	g.reportedAt = l.At
	c.picker.Report(now, id, placement.Load{Running: l.Running, Queued: l.Queued, At: l.At})
	if g.limitAt(now) != g.limited {
		c.applyLimits(now)
	}
}

// key tells the requests of all entries apart.
func (r Request) key() string { return r.Entry + "/" + r.ID }

// Offer lets a request wait. It returns the decisions that follow at once: a refusal, refusals of
// requests of lesser worth, or the grant that the request has already when its reply was lost.
func (c *Coordinator) Offer(now time.Time, r Request) []Decision {
	key := r.key()
	if h := c.grants[c.granted[key]]; h != nil {
		return []Decision{c.describe(now, Decision{Request: r, Grant: &h.Grant})}
	}
	if _, waits := c.waiting[key]; waits {
		return nil
	}
	if !c.picker.Serves(c.model, r.Homes) {
		return []Decision{{Request: r}}
	}
	w := &waiter{Request: r, since: now, returned: now.Sub(r.OnTimeUntil) > returnedAfter}
	w.last = w.isLate(now)
	c.rates.tick(now)
	if !w.last {
		c.rates.arrivals++
	}
	return c.enqueue(now, w)
}

// enqueue puts a waiter into the queue: behind all others if it is late. Without a deadline the
// queue refuses nothing by its own estimates, see refuseSurplus.
func (c *Coordinator) enqueue(now time.Time, w *waiter) []Decision {
	key := w.key()
	d := c.queue.Offer(now, admission.Request{
		ID: key, Workspace: w.Workspace, Class: w.Class, Model: c.model, Homes: homesName(w.Homes), Tokens: w.Tokens,
		Arrived: now, OnTimeUntil: w.OnTimeUntil, Last: w.last,
	})
	out := c.refusals(nil, d.Evicted)
	if d.Refusal != nil {
		delete(c.waiting, key)
		return append(out, Decision{Request: w.Request, Refusal: d.Refusal, Waiting: len(c.waiting)})
	}
	c.waiting[key] = w
	c.queue.NewestFirst(c.model, true)
	return out
}

func homesName(homes []string) string {
	name := ""
	for _, h := range homes {
		name += h + " "
	}
	return name
}

// refusals appends the decisions for requests that the queue has refused.
func (c *Coordinator) refusals(out []Decision, evicted []admission.Eviction) []Decision {
	for _, e := range evicted {
		w, ok := c.waiting[e.Request.ID]
		if !ok {
			continue
		}
		delete(c.waiting, e.Request.ID)
		out = append(out, Decision{Request: w.Request, Refusal: &e.Refusal, Waiting: len(c.waiting)})
	}
	return out
}

// Decide returns the grants that fit now, and the refusals of requests that can no longer be
// answered in time.
func (c *Coordinator) Decide(now time.Time) []Decision {
	c.sweep(now)
	c.rates.tick(now)
	var out []Decision
	for {
		r, expired, ok := c.queue.Next(now, func(r admission.Request) bool {
			return c.picker.HasCapacity(now, c.placementRequest(c.waiting[r.ID].Request))
		})
		out = c.refusals(out, expired)
		if !ok {
			c.rates.full = c.rates.full || len(c.waiting) > 0
			return append(out, c.refuseSurplus(now)...)
		}
		out = append(out, c.grant(now, r.ID))
	}
}

// placementRequest returns a request as one unit of a group's limit. No part is reserved: the
// order of this queue holds for all entries, so the next request of greater worth gets the next
// free place.
func (c *Coordinator) placementRequest(r Request) placement.Request {
	return placement.Request{ID: r.ID, Model: c.model, Tokens: 1, Homes: r.Homes, Exclude: r.Exclude}
}

// grant chooses the group of a request that the queue has released. A request that excludes all
// groups with room is given back to its entry.
func (c *Coordinator) grant(now time.Time, key string) Decision {
	r := c.waiting[key].Request
	delete(c.waiting, key)
	choice, ok := c.picker.Pick(now, c.placementRequest(r))
	if !ok || choice.Reason == placement.ReasonNoCapacity {
		c.queue.Done(now, admission.Outcome{ID: key})
		return Decision{Request: r, Waiting: len(c.waiting)}
	}
	c.next++
	h := &heldGrant{
		Grant: Grant{Number: c.next, Request: r.ID, Entry: r.Entry, Group: choice.ID, Expires: r.Deadline},
		key:   key, since: now,
	}
	c.grants[h.Number], c.granted[key] = h, h.Number
	c.picker.RecordStart(now, key, choice.ID, 1)
	c.rates.grants++
	return c.describe(now, Decision{Request: r, Grant: &h.Grant})
}

// describe adds the inputs of a grant for the log.
func (c *Coordinator) describe(now time.Time, d Decision) Decision {
	d.Load, d.Limit = c.picker.Estimate(d.Grant.Group)
	d.Age, d.Waiting = -1, len(c.waiting)
	if g := c.groups[d.Grant.Group]; g != nil && !g.reportedAt.IsZero() {
		d.Age = now.Sub(g.reportedAt)
	}
	return d
}

// Finish ends a grant of an entry. used is false if the request was not sent to the group.
// Numbers of grants that have ended, or that are of another entry or coordinator, are ignored.
func (c *Coordinator) Finish(now time.Time, entry string, number uint64, used bool) {
	if h := c.grants[number]; h != nil && h.Entry == entry {
		c.end(now, h, used)
		if used {
			c.rates.ended(now.Sub(h.since))
		}
	}
}

func (c *Coordinator) end(now time.Time, h *heldGrant, answered bool) {
	delete(c.grants, h.Number)
	delete(c.granted, h.key)
	c.picker.RecordFinish(now, h.key, placement.Result{OK: answered, Cancelled: !answered})
	c.queue.Done(now, admission.Outcome{ID: h.key, Answered: answered, Took: now.Sub(h.since)})
}

// Cancel ends the wait of a request. A request that was granted at the same moment gives its
// grant back.
func (c *Coordinator) Cancel(now time.Time, entry, id string) {
	key := Request{Entry: entry, ID: id}.key()
	if h := c.grants[c.granted[key]]; h != nil {
		c.end(now, h, false)
		return
	}
	delete(c.waiting, key)
	c.queue.Cancel(key)
}

// sweep ends expired grants, and lowers the limits of groups that no longer report.
func (c *Coordinator) sweep(now time.Time) {
	if now.Before(c.sweepAt) {
		return
	}
	c.sweepAt = now.Add(sweepInterval)
	for _, h := range c.grants {
		if now.After(h.Expires) {
			c.end(now, h, false)
		}
	}
	for _, g := range c.groups {
		if g.limitAt(now) != g.limited {
			c.applyLimits(now)
			return
		}
	}
}

// Waiting returns how many requests wait, Granted how many grants have not ended.
func (c *Coordinator) Waiting() int { return len(c.waiting) }

// Granted returns how many grants have not ended.
func (c *Coordinator) Granted() int { return len(c.grants) }
