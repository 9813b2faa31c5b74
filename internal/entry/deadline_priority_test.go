package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// Entries recover from an outage with a backlog that is late already, while a group loses a
// member and its streams resume elsewhere. A stream that has begun must come first and the
// backlog last. No deadline priority may lift a workspace over one of a higher priority.
func TestEnginesServeOnTimeRequestsFirst(t *testing.T) {
	now := time.Now()
	j := &job{firstSent: now, forward: &forwarding{route: blackboard.Route{ObjectiveMillis: 200}}}
	assert.Equal(t, j.deadlinePriority(now.Add(150*time.Millisecond)), deadlineOnTime)
	assert.Equal(t, j.deadlinePriority(now.Add(250*time.Millisecond)), deadlineLate)
	j.forward.begun.Store(true)
	assert.Equal(t, j.deadlinePriority(now.Add(time.Second)), deadlineBegun)
	j = &job{firstSent: now, forward: &forwarding{}}
	assert.Equal(t, j.deadlinePriority(now.Add(time.Hour)), deadlineOnTime, "without an objective nothing is late")

	last := -1
	for priority := range 3 {
		for _, u := range []deadlinePriority{deadlineBegun, deadlineOnTime, deadlineLate} {
			r := engineRank(priority, u)
			assert.Assert(t, r > last, "priority %d, deadline priority %d", priority, u)
			last = r
		}
	}
	assert.Equal(t, engineRank(7, deadlineBegun), lowestRank)
}

// A stream is cut and resumes in another run. The engine must receive the rank of a stream
// whose caller waits for its next event.
func TestResumedStreamRanksFirst(t *testing.T) {
	f := &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){
		answerWith(200, events("1", "2")+"id: 3", true),
		answerWith(200, events("3"), false),
	}}
	_, e, aborted := send(configuredServer(t, f), ForwardRequest{Path: "/stream/x"})
	assert.Assert(t, e == nil && !aborted)
	assert.Equal(t, f.calls[0].Rank, engineRank(0, deadlineOnTime))
	assert.Equal(t, f.calls[1].Rank, engineRank(0, deadlineBegun))
}
