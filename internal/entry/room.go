package entry

import (
	"math"
	"time"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement"
)

const (
	// shortAbove and roomBelow are the mean load of a model's groups, as a fraction of their
	// limits, at which the model becomes short of room and stops being so.
	shortAbove = 0.8
	roomBelow  = 0.65
	// roomWeight is the weight of one report in that mean. An entry gets a few a second.
	roomWeight = 0.5
	// roomStaleAfter is the age of the last report after which the mean counts no more.
	roomStaleAfter = 2 * time.Second
)

// groupLimit returns how many requests a group of an engine may run and queue; 0 if the engine
// states no slots.
//
// What the coordinator knows of a group is some hundred milliseconds old, and what begins and
// ends in that time differs by about the square root of what runs. With a limit equal to the
// slots, half of the requests would meet a full group and wait there.
func groupLimit(e *blackboard.EngineSpec) int {
	if e == nil || e.Slots == 0 {
		return 0
	}
	slots := float64(e.Slots)
	return max(1, int(slots-math.Sqrt(slots)))
}

// engineOf returns the engine that serves a model; nil if there is none.
func engineOf(c *blackboard.Configuration, model string) *blackboard.EngineSpec {
	return c.Services[c.Groups[model].Pool].Engine
}

// room is what this entry knows of the free room of one model's groups.
type room struct {
	ratio float64
	at    time.Time
	short bool
}

// observe adds a report of one group: load of limit requests.
func (r *room) observe(now time.Time, load, limit int) {
	sample := float64(load) / float64(limit)
	if now.Sub(r.at) > roomStaleAfter {
		r.ratio = sample
	}
	r.ratio += roomWeight * (sample - r.ratio)
	r.at = now
	switch {
	case r.ratio >= shortAbove:
		r.short = true
	case r.ratio < roomBelow:
		r.short = false
	}
}

func (r *room) isShort(now time.Time) bool {
	return r != nil && r.short && now.Sub(r.at) <= roomStaleAfter
}

// reportAnswer applies the load that a group reported in an answer. limit is the group's limit
// in requests, or 0.
func (d *dispatcher) reportAnswer(now time.Time, target route, l placement.Load, limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Report(now, target.target, l)
	if limit == 0 || target.group == "" {
		return
	}
	r := d.rooms[target.pool]
	if r == nil {
		r = &room{}
		d.rooms[target.pool] = r
	}
	r.observe(now, l.Running+l.Queued, limit)
}

// isShort reports whether a model is short of room, by what this entry knows.
func (d *dispatcher) isShort(now time.Time, model string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rooms[model].isShort(now) && !d.evacuated[model] && d.servedPools[model]
}

// lastReports returns the reports of targets that are not older than roomStaleAfter.
func (d *dispatcher) lastReports(now time.Time, targets []string) map[string]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]placement.Load, len(targets))
	for _, id := range targets {
		if l, ok := d.picker.LastReport(id); ok && now.Sub(l.At) <= roomStaleAfter {
			out[id] = l
		}
	}
	return out
}

// currentPolicy returns admission's policy and how often it has changed.
func (d *dispatcher) currentPolicy() (admission.Policy, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy, d.policyChanges
}

// routesOf returns the routes to those of the groups that are routable.
func (d *dispatcher) routesOf(groups []string) []route {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []route
	for _, id := range groups {
		if r, ok := d.routes[id]; ok {
			out = append(out, r)
		}
	}
	return out
}

// mayUse reports whether a job may be sent to a target now.
func (d *dispatcher) mayUse(j *job, target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.MaySend(time.Now(), target, j.placementRequest(0))
}

// onTimeLeft returns how long a job may wait so that its first event is still on time.
func (d *dispatcher) onTimeLeft(now time.Time, j *job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.onTimeUntil(j).Sub(now)
}

// takeGranted begins the job's attempt on the target that a coordinator has granted. It returns
// false if this entry may not send to the target now.
func (d *dispatcher) takeGranted(now time.Time, j *job, target, coordinator string) (grant, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.picker.MaySend(now, target, j.placementRequest(0)) {
		return grant{}, false
	}
	g := d.startAttempt(now, j, target)
	d.queue.CountAdmitted(now, admission.Request{Workspace: j.workspace, RetryBudget: j.retryBudget()})
	j.lines.Info("event", "route", "request", j.id, "attempt", g.attempt, "model", j.model,
		"class", j.class, "workspace", j.workspace, "choice", target, "server", g.route.head, "reason", "granted", "coordinator", coordinator,
		"queued_ms", now.Sub(j.arrived).Milliseconds())
	return g, true
}
