package metrics

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/demand"
)

// Control holds the metrics of the control role. Its caller passes it the status about once a
// second, and it derives outages from the changes. It is not safe for concurrent use; a nil
// Control records nothing.
type Control struct {
	scope   tally.Scope
	outages outages
	// last holds the measures of the previous sample, from which the increase is computed.
	last adminapi.Measures
}

// Sample records the status that the leader sees. A process that is not the leader passes
// leading false, which discards the recorded outages: the status of a follower may be out of
// date.
func (c *Control) Sample(s adminapi.Status, config blackboard.Configuration, leading bool, now time.Time) {
	if c == nil {
		return
	}
	if !leading {
		c.scope.Gauge(nameLeading).Update(0)
		c.outages, c.last = outages{}, adminapi.Measures{}
		return
	}
	c.scope.Gauge(nameLeading).Update(1)
	c.scope.Gauge(nameVoters).Update(float64(voters(s)))
	c.scope.Gauge(nameVotersMissing).Update(float64(s.Voters.Wanted - s.Voters.Answering))
	c.scope.Gauge(nameEntriesBehind).Update(float64(entriesBehind(s)))
	c.sampleStates(s)
	c.sampleMeasures(s.Measures)
	for _, o := range c.outages.update(s, config, now) {
		c.scope.Tagged(map[string]string{"group": o.group}).Timer(nameOutage).Record(o.took)
	}
	for _, took := range c.outages.updateStranded(s, now) {
		c.scope.Timer(nameStrandedOutage).Record(took)
	}
}

// Demand records the demand for each model.
func (c *Control) Demand(models []demand.Summary) {
	if c == nil {
		return
	}
	for _, m := range models {
		scope := c.scope.Tagged(map[string]string{"model": m.Model})
		scope.Gauge(nameDemandRate).Update(m.RequestsPerSecond)
		scope.Gauge(nameDemandLate).Update(m.LateFraction)
		scope.Gauge(nameDemandRefused).Update(m.RefusedFraction)
	}
}

func (c *Control) sampleStates(s adminapi.Status) {
	groups := map[string]int{}
	models := map[string]string{}
	for _, g := range s.Groups {
		groups[string(g.State)]++
		models[g.ID] = g.Model
	}
	for _, state := range []blackboard.GroupState{
		blackboard.Forming, blackboard.Loading, blackboard.Serving, blackboard.Draining, blackboard.Broken,
	} {
		c.scope.Tagged(map[string]string{"state": string(state)}).Gauge(nameGroups).Update(float64(groups[string(state)]))
	}
	vms := map[string]int{}
	further := 0
	for _, v := range s.VMs {
		vms[string(v.Liveness)]++
		model, grouped := models[v.Group]
		if grouped && slices.ContainsFunc(v.Weights, func(staged string) bool { return staged != model }) {
			further++
		}
	}
	c.scope.Gauge(nameFurtherModel).Update(float64(further))
	for _, liveness := range []blackboard.Liveness{
		blackboard.Alive, blackboard.Paused, blackboard.Dead, blackboard.Straggler,
	} {
		c.scope.Tagged(map[string]string{"liveness": string(liveness)}).Gauge(nameVMs).Update(float64(vms[string(liveness)]))
	}
}

func (c *Control) sampleMeasures(m adminapi.Measures) {
	c.scope.Gauge(nameGroupsDown).Update(float64(m.GroupsDown))
	c.scope.Gauge(nameStranded).Update(float64(m.StrandedAccelerators))
	c.scope.Counter(nameDowntime).Inc(millisAdded(c.last.GroupDowntimeSeconds, m.GroupDowntimeSeconds))
	c.scope.Counter(nameStrandedTime).Inc(millisAdded(c.last.StrandedAcceleratorSeconds, m.StrandedAcceleratorSeconds))
	c.last = m
}

// millisAdded returns the increase of a sum of seconds in whole milliseconds. A sum that
// decreased was reset by a new leader's term.
func millisAdded(before, now float64) int64 {
	const millis = 1000
	if now < before {
		before = 0
	}
	return int64(now*millis) - int64(before*millis)
}

// voters counts the voting replicas.
func voters(s adminapi.Status) int {
	n := 0
	for _, r := range s.Replicas {
		if r.Role != "learner" {
			n++
		}
	}
	return n
}

// entriesBehind counts the entries that have a lease but not the newest configuration.
func entriesBehind(s adminapi.Status) int {
	n := 0
	for _, e := range s.Entries {
		if e.LeaseMillis > 0 && e.ConfigRevision < s.ConfigRevision {
			n++
		}
	}
	return n
}

// outages records since when replicas and VMs have been out of service.
type outages struct {
	// groups holds the start times of the current outages of each group, oldest first. A group
	// with two replicas down has two of them.
	groups map[string][]time.Time
	// strandedVMs holds for each live VM without a working group the time since when it has had
	// none.
	strandedVMs map[string]time.Time
}

type outage struct {
	group string
	took  time.Duration
}

// update returns the outages of groups that ended since the previous call.
func (o *outages) update(s adminapi.Status, config blackboard.Configuration, now time.Time) []outage {
	serving := map[string]int{}
	for _, g := range s.Groups {
		if g.State.Routable() {
			serving[g.Spec]++
		}
	}
	if o.groups == nil {
		o.groups = map[string][]time.Time{}
	}
	var ended []outage
	for name := range config.Groups {
		down := max(0, config.GroupReplicas(name)-serving[name])
		starts := o.groups[name]
		for len(starts) < down {
			starts = append(starts, now)
		}
		for len(starts) > down {
			ended = append(ended, outage{name, now.Sub(starts[0])})
			starts = starts[1:]
		}
		o.groups[name] = starts
	}
	for name := range o.groups {
		if _, ok := config.Groups[name]; !ok {
			delete(o.groups, name)
		}
	}
	return ended
}

// updateStranded returns, for each VM that is in a working group again, how long it had been
// without one.
func (o *outages) updateStranded(s adminapi.Status, now time.Time) []time.Duration {
	working := map[string]bool{}
	for _, g := range s.Groups {
		for _, m := range g.Members {
			working[m.VM] = working[m.VM] || g.State.Routable()
		}
	}
	before := o.strandedVMs
	o.strandedVMs = map[string]time.Time{}
	var ended []time.Duration
	for _, v := range s.VMs {
		since, stranded := before[v.ID]
		switch {
		case working[v.ID] && stranded:
			ended = append(ended, now.Sub(since))
		case working[v.ID] || v.Liveness == blackboard.Dead:
		case stranded:
			o.strandedVMs[v.ID] = since
		default:
			o.strandedVMs[v.ID] = now
		}
	}
	return ended
}
