package entry

import "time"

// urgency orders requests of workspaces of one priority in the engines' own
// queues.
//
// Load: a group loses a member, or all entries come back from an outage, and more
// arrives within a second than the groups answer in one. Harm of first come, first
// served: streams that have begun pause behind new prompts, and the backlog, which is late
// whatever is done, makes each newcomer late as well. Those that begin on time
// are served on time, and the backlog after them, still before its deadline.
type urgency int

const (
	// urgentBegun is a stream whose caller waits for its next event.
	urgentBegun urgency = iota
	// urgentOnTime is a request that may still get its answer within its
	// objective.
	urgentOnTime
	// urgentLate is one whose caller has waited for longer than its objective.
	urgentLate
	// urgencies is how many there are.
	urgencies
)

// urgency returns that of the job's next attempt.
func (j *job) urgency(now time.Time) urgency {
	objective := time.Duration(j.forward.route.ObjectiveMillis) * time.Millisecond
	switch {
	case j.forward.begun:
		return urgentBegun
	case objective > 0 && now.Sub(j.firstSent) > objective:
		return urgentLate
	}
	return urgentOnTime
}

// engineRank maps a workspace's priority and a request's urgency to the ranks of
// engines, 0 to lowestRank. The priority comes first; those past the third share
// the last rank.
func engineRank(priority int, u urgency) int {
	return min(rank(priority)*int(urgencies)+int(u), lowestRank)
}
