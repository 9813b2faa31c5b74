package explain

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// PoolReport is what the logs of control processes say of the VMs of the pools and of
// the groups that broke.
type PoolReport struct {
	// Seconds are VM-seconds by pool and state. A VM counts in one state at a time.
	Seconds map[string]map[string]float64 `json:"vm_seconds"`
	// Repairs are the groups that broke, in order.
	Repairs []Repair `json:"repairs"`
	// Reasons count the groups that broke by why.
	Reasons map[string]int `json:"reasons"`
	// Suspected counts the epochs of groups that entries found silent, and Acted those
	// of them that were broken for it.
	Suspected int `json:"suspected"`
	Acted     int `json:"acted"`
}

// Repair is a group that broke and the next one of its model in its fabric domain.
type Repair struct {
	Group  string    `json:"group"`
	Broken time.Time `json:"broken"`
	// Formed is how long after the break that one was formed, and Served how long after
	// that it served; negative where the logs do not say.
	Formed time.Duration `json:"formed"`
	Served time.Duration `json:"served"`
}

// unknownStep is a step of a repair that the logs do not show.
const unknownStep = time.Duration(-1)

// poolStates are the counts in a line of event=pool that make up the VMs of a pool. In
// a line, living are those in all states but dead.
var poolStates = []string{"serving", "loading", "held", "free", "leaving", "dead"}

// Pools reads what the control processes logged of pools and groups.
func (l *Logs) Pools() PoolReport {
	r := PoolReport{Seconds: make(map[string]map[string]float64), Reasons: make(map[string]int)}
	lines := inOrder(l.lines)
	l.countSeconds(lines, &r)
	r.repairs(lines)
	r.suspicions(lines)
	return r
}

// longestSample bounds the time that one line of a pool counts for: it is written each
// second by the process that leads, and nobody knows what was while none did.
const longestSample = 3 * time.Second

// countSeconds adds up the VMs in each state from one line of a pool to the next.
func (l *Logs) countSeconds(lines []Line, r *PoolReport) {
	last := make(map[string]Line)
	for _, line := range lines {
		if line.Event != "pool" {
			continue
		}
		pool := line.Fields["pool"]
		if before, known := last[pool]; known {
			r.add(pool, before, line.At.Sub(before.At))
		}
		last[pool] = line
	}
}

func (r *PoolReport) add(pool string, line Line, d time.Duration) {
	if d <= 0 {
		return
	}
	if r.Seconds[pool] == nil {
		r.Seconds[pool] = make(map[string]float64)
	}
	for _, state := range poolStates {
		// A count that can't be read is one that an earlier version did not write.
		n, _ := strconv.Atoi(line.Fields[state])
		r.Seconds[pool][state] += float64(n) * min(d, longestSample).Seconds()
	}
}

// place is a model in a fabric domain.
type place struct{ spec, domain string }

// repairs pairs each group that broke with the next one that was formed in its place.
func (r *PoolReport) repairs(lines []Line) {
	open := make(map[place][]int)
	forming := make(map[string]int)
	domains := make(map[string]string)
	for _, line := range lines {
		if line.Event != "decision" {
			continue
		}
		group := line.Fields["subject"]
		switch line.Fields["kind"] {
		case "break":
			r.Reasons[reasonOf(line.Fields["reason"])]++
			r.Repairs = append(r.Repairs, Repair{Group: group, Broken: line.At, Formed: unknownStep, Served: unknownStep})
			at := place{specOf(group), domains[group]}
			open[at] = append(open[at], len(r.Repairs)-1)
		case "form":
			domains[group] = line.Fields["choice"]
			at := place{specOf(group), domains[group]}
			if len(open[at]) == 0 {
				continue
			}
			n := open[at][0]
			open[at] = open[at][1:]
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

// specOf returns the name of a group without its number.
func specOf(group string) string {
	if i := strings.LastIndexByte(group, '-'); i > 0 {
		return group[:i]
	}
	return group
}

// reasonOf leaves out the member that a reason names.
func reasonOf(reason string) string {
	words := strings.Fields(reason)
	if len(words) > 2 && words[0] == "member" {
		return "member " + strings.Join(words[2:], " ")
	}
	return reason
}

// suspicions counts what entries suspected and what came of it.
func (r *PoolReport) suspicions(lines []Line) {
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

// Steps returns the median and the longest of the steps of the repairs that the logs
// show; zero where there are none.
func (r PoolReport) Steps(step func(Repair) time.Duration) (median, longest time.Duration, shown int) {
	var all []time.Duration
	for _, repair := range r.Repairs {
		if d := step(repair); d != unknownStep {
			all = append(all, d)
		}
	}
	if len(all) == 0 {
		return 0, 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1], len(all)
}
