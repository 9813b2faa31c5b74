package explain

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// PoolReport summarises what the logs of control processes record about the VMs of each pool
// and about the groups that broke.
type PoolReport struct {
	// Seconds holds VM-seconds by pool and state. A VM counts in one state at a time.
	Seconds map[string]map[string]float64 `json:"vm_seconds"`
	// Repairs lists the groups that broke, in order.
	Repairs []Repair `json:"repairs"`
	// Reasons counts the groups that broke, by reason.
	Reasons map[string]int `json:"reasons"`
	// Suspected counts the group epochs that entries reported as silent, Acted how many of them
	// were broken for that reason.
	Suspected int `json:"suspected"`
	Acted     int `json:"acted"`
}

// Repair is a group that broke and the next group that formed for the same model in the same
// fabric domain.
type Repair struct {
	Group  string    `json:"group"`
	Broken time.Time `json:"broken"`
	// Formed is the time from the break until the next group formed, Served the time from then
	// until it served. Both are negative where the logs do not show the step.
	Formed time.Duration `json:"formed"`
	Served time.Duration `json:"served"`
}

// stepNotLogged is the duration of a repair step that the logs do not show.
const stepNotLogged = time.Duration(-1)

// poolStates are the counts in a line of event=pool that add up to the VMs of a pool. The count
// "living" in a line covers all states but dead.
var poolStates = []string{"serving", "loading", "held", "free", "leaving", "dead"}

// Pools summarises what the control processes logged about pools and groups.
func (l *Logs) Pools() PoolReport {
	r := PoolReport{Seconds: make(map[string]map[string]float64), Reasons: make(map[string]int)}
	lines := sortLines(l.lines)
	l.countSeconds(lines, &r)
	r.pairRepairs(lines)
	r.countSuspicions(lines)
	return r
}

// maxSampleTime bounds the time that one pool line counts for. The leader writes such a line
// every second; while there is no leader, the state of the VMs is unknown.
const maxSampleTime = 3 * time.Second

// countSeconds adds up the VM-seconds in each state between consecutive lines of a pool.
func (l *Logs) countSeconds(lines []Line, r *PoolReport) {
	last := make(map[string]Line)
	for _, line := range lines {
		if line.Event != "pool" {
			continue
		}
		pool := line.Fields["pool"]
		if before, known := last[pool]; known {
			r.addSeconds(pool, before, line.At.Sub(before.At))
		}
		last[pool] = line
	}
}

// addSeconds counts the states in line for d, but for no longer than maxSampleTime.
func (r *PoolReport) addSeconds(pool string, line Line, d time.Duration) {
	if d <= 0 {
		return
	}
	if r.Seconds[pool] == nil {
		r.Seconds[pool] = make(map[string]float64)
	}
	for _, state := range poolStates {
		// A count is missing in logs that an earlier version wrote.
		n, _ := strconv.Atoi(line.Fields[state])
		r.Seconds[pool][state] += float64(n) * min(d, maxSampleTime).Seconds()
	}
}

// modelInDomain identifies a model in a fabric domain.
type modelInDomain struct{ spec, domain string }

// pairRepairs pairs each group that broke with the next group that formed for its model in its
// fabric domain.
func (r *PoolReport) pairRepairs(lines []Line) {
	unpaired := make(map[modelInDomain][]int)
	forming := make(map[string]int)
	domains := make(map[string]string)
	for _, line := range lines {
		if line.Event != "decision" {
			continue
		}
		group := line.Fields["subject"]
		switch line.Fields["kind"] {
		case "break":
			r.Reasons[reasonWithoutMember(line.Fields["reason"])]++
			r.Repairs = append(r.Repairs, Repair{Group: group, Broken: line.At, Formed: stepNotLogged, Served: stepNotLogged})
			key := modelInDomain{specName(group), domains[group]}
			unpaired[key] = append(unpaired[key], len(r.Repairs)-1)
		case "form":
			domains[group] = line.Fields["choice"]
			key := modelInDomain{specName(group), domains[group]}
			if len(unpaired[key]) == 0 {
				continue
			}
			n := unpaired[key][0]
			unpaired[key] = unpaired[key][1:]
			r.Repairs[n].Formed = line.At.Sub(r.Repairs[n].Broken)
			forming[group] = n
		case "serve":
			n, known := forming[group]
			if !known {
				continue
			}
			delete(forming, group)
			r.Repairs[n].Served = line.At.Sub(r.Repairs[n].Broken) - r.Repairs[n].Formed
		}
	}
}

// specName returns the name of a group without its number.
func specName(group string) string {
	if i := strings.LastIndexByte(group, '-'); i > 0 {
		return group[:i]
	}
	return group
}

// reasonWithoutMember removes the name of the member from a reason.
func reasonWithoutMember(reason string) string {
	words := strings.Fields(reason)
	if len(words) > 2 && words[0] == "member" {
		return "member " + strings.Join(words[2:], " ")
	}
	return reason
}

// countSuspicions counts the group epochs that entries suspected and the groups that were
// broken for it.
func (r *PoolReport) countSuspicions(lines []Line) {
	suspected := make(map[string]time.Time)
	for _, line := range lines {
		switch {
		case line.Event == "group_suspected":
			key := line.Fields["group"] + " " + line.Fields["epoch"]
			if _, known := suspected[key]; !known {
				r.Suspected++
			}
			suspected[key] = line.At
		case line.Event == "decision" && line.Fields["kind"] == "break" && line.Fields["reason"] == "no entry gets answers":
			r.Acted++
		}
	}
}

// Steps returns the median and the maximum of one step over the repairs for which the logs show
// it, and the number of those repairs. All are zero if there are none.
func (r PoolReport) Steps(step func(Repair) time.Duration) (median, longest time.Duration, shown int) {
	var all []time.Duration
	for _, repair := range r.Repairs {
		if d := step(repair); d != stepNotLogged {
			all = append(all, d)
		}
	}
	if len(all) == 0 {
		return 0, 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1], len(all)
}
