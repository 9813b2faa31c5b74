package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// Control are the metrics of the control role. It is fed the status about once
// a second and finds the outages in what changed. It is not safe for
// concurrent use; a nil Control records nothing.
type Control struct {
	scope   tally.Scope
	outages outages
	// last are the measures at the last sample, to count what was added.
	last adminapi.Measures
}

// Sample records the status as the leader sees it. A process that does not
// lead passes leading false, and drops what it knew of outages: the status of
// a follower may be old.
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
	c.scope.Gauge(nameEntriesBehind).Update(float64(entriesBehind(s)))
	c.sampleStates(s)
	c.sampleMeasures(s.Measures)
	for _, o := range c.outages.look(s, config, now) {
		c.scope.Tagged(map[string]string{"group": o.group}).Timer(nameOutage).Record(o.took)
	}
	for _, took := range c.outages.lookStranded(s, now) {
		c.scope.Timer(nameStrandedSpell).Record(took)
	}
}

func (c *Control) sampleStates(s adminapi.Status) {
	groups := map[string]int{}
	for _, g := range s.Groups {
		groups[string(g.State)]++
	}
	for _, state := range []blackboard.GroupState{
		blackboard.Forming, blackboard.Loading, blackboard.Serving, blackboard.Draining, blackboard.Broken,
	} {
		c.scope.Tagged(map[string]string{"state": string(state)}).Gauge(nameGroups).Update(float64(groups[string(state)]))
	}
	vms := map[string]int{}
	for _, v := range s.VMs {
		vms[string(v.Liveness)]++
	}
	for _, liveness := range []blackboard.Liveness{
		blackboard.Alive, blackboard.Paused, blackboard.Dead, blackboard.Straggler,
	} {
		c.scope.Tagged(map[string]string{"liveness": string(liveness)}).Gauge(nameVMs).Update(float64(vms[string(liveness)]))
	}
}

func (c *Control) sampleMeasures(m adminapi.Measures) {
	c.scope.Gauge(nameGroupsDown).Update(float64(m.GroupsDown))
	c.scope.Gauge(nameStranded).Update(float64(m.StrandedAccelerators))
	c.scope.Counter(nameDowntime).Inc(added(c.last.GroupDowntimeSeconds, m.GroupDowntimeSeconds))
	c.scope.Counter(nameStrandedTime).Inc(added(c.last.StrandedAcceleratorSeconds, m.StrandedAcceleratorSeconds))
	c.last = m
}

// added returns what a sum of seconds grew by, in whole milliseconds. A sum
// that fell started anew with a leader's new term.
func added(before, now float64) int64 {
	const millis = 1000
	if now < before {
		before = 0
	}
	return int64(now*millis) - int64(before*millis)
}

func voters(s adminapi.Status) int {
	n := 0
	for _, r := range s.Replicas {
		if r.Role != "learner" {
			n++
		}
	}
	return n
}

func entriesBehind(s adminapi.Status) int {
	n := 0
	for _, e := range s.Entries {
		if e.LeaseMillis > 0 && e.ConfigRevision < s.ConfigRevision {
			n++
		}
	}
	return n
}

// outages remembers since when replicas and VMs have been down.
type outages struct {
	// groups holds the starts of the present outages of each group, oldest
	// first: a group with two replicas down has two.
	groups map[string][]time.Time
	vms    map[string]time.Time
}

type outage struct {
	group string
	took  time.Duration
}

// look returns the outages of groups that ended since the last look.
func (o *outages) look(s adminapi.Status, config blackboard.Configuration, now time.Time) []outage {
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

// lookStranded returns how long each VM had been stranded that is in a
// working group again.
func (o *outages) lookStranded(s adminapi.Status, now time.Time) []time.Duration {
	working := map[string]bool{}
	for _, g := range s.Groups {
		for _, m := range g.Members {
			working[m.VM] = working[m.VM] || g.State.Routable()
		}
	}
	before := o.vms
	o.vms = map[string]time.Time{}
	var ended []time.Duration
	for _, v := range s.VMs {
		since, stranded := before[v.ID]
		switch {
		case working[v.ID] && stranded:
			ended = append(ended, now.Sub(since))
		case working[v.ID] || v.Liveness == blackboard.Dead:
		case stranded:
			o.vms[v.ID] = since
		default:
			o.vms[v.ID] = now
		}
	}
	return ended
}
