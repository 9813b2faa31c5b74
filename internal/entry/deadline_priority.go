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
type deadlinePriority int

const (
	// urgentBegun is a stream whose caller waits for its next event.
	deadlineBegun deadlinePriority = iota
	// urgentOnTime is a request that may still get its answer within its
	// objective.
	deadlineOnTime
	// urgentLate is one whose caller has waited for longer than its objective.
	deadlineLate
	// urgencies is how many there are.
	deadlinePriorities
)

// urgency returns that of the job's next attempt.
func (j *job) deadlinePriority(now time.Time) deadlinePriority {
	objective := time.Duration(j.forward.route.ObjectiveMillis) * time.Millisecond
	switch {
	case j.forward.begun:
		return deadlineBegun
	case objective > 0 && now.Sub(j.firstSent) > objective:
		return deadlineLate
	}
	return deadlineOnTime
}

// engineRank maps a workspace's priority and a request's urgency to the ranks of
// engines, 0 to lowestRank. The priority comes first; those past the third share
// the last rank.
func engineRank(priority int, u deadlinePriority) int {
	return min(rank(priority)*int(deadlinePriorities)+int(u), lowestRank)
}
