package entry

import "time"

// deadlinePriority orders requests of workspaces of equal priority in the engines' own queues.
//
// After a group loses a member, or when all entries recover from an outage, more requests may
// arrive within a second than the groups answer in a second. Served first come, first served,
// streams that have begun would pause behind new prompts, and the backlog, which is late in any
// case, would make each new request late as well. In this order, requests that begin on time
// are served on time, and the backlog after them, still before its deadline.
type deadlinePriority int

const (
	// deadlineBegun is a stream whose caller waits for its next event.
	deadlineBegun deadlinePriority = iota
	// deadlineOnTime is a request that may still get its answer within its objective.
	deadlineOnTime
	// deadlineLate is a request whose caller has waited for longer than its objective.
	deadlineLate
	// deadlinePriorities is the number of deadline priorities.
	deadlinePriorities
)

// deadlinePriority returns the deadline priority of the job's next attempt.
func (j *job) deadlinePriority(now time.Time) deadlinePriority {
	objective := time.Duration(j.forward.route.ObjectiveMillis) * time.Millisecond
	switch {
	case j.forward.begun.Load():
		return deadlineBegun
	case objective > 0 && now.Sub(j.firstSent) > objective:
		return deadlineLate
	}
	return deadlineOnTime
}

// engineRank maps a workspace's priority and a request's deadline priority to the ranks of
// engines, 0 to lowestRank. The workspace's priority comes first. Priorities past the third
// share the last rank.
func engineRank(priority int, u deadlinePriority) int {
	return min(rank(priority)*int(deadlinePriorities)+int(u), lowestRank)
}
