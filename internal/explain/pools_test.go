package explain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const poolLog = `
ts=2026-03-13T01:29:30.0Z vm=core-1 event=decision kind=form subject=m-8 choice=d1 runner_up= reason="fetches 0"
ts=2026-03-13T01:29:30.1Z vm=core-1 event=decision kind=form subject=m-9 choice=d2 runner_up= reason="fetches 0"
ts=2026-03-13T01:29:38.0Z vm=core-1 event=pool pool=p living=10 serving=8 loading=0 held=0 free=2 dead=0 leaving=0
ts=2026-03-13T01:29:38.2Z vm=core-1 event=group_suspected group=m-8 epoch=7 by=front-1 silent_ms=240
ts=2026-03-13T01:29:38.2Z vm=core-1 event=group_suspected group=m-8 epoch=7 by=front-2 silent_ms=250
ts=2026-03-13T01:29:38.3Z vm=core-1 event=group_suspected group=m-9 epoch=3 by=front-2 silent_ms=250
ts=2026-03-13T01:29:38.3Z vm=core-1 event=decision kind=break subject=m-8 choice=broken runner_up=wait reason="no entry gets answers"
ts=2026-03-13T01:29:38.7Z vm=core-1 event=decision kind=form subject=m-10 choice=d2 runner_up= reason="fetches 0"
ts=2026-03-13T01:29:38.8Z vm=core-1 event=decision kind=form subject=m-11 choice=d1 runner_up= reason="fetches 0"
ts=2026-03-13T01:29:39.0Z vm=core-1 event=pool pool=p living=9 serving=4 loading=4 held=0 free=1 dead=1 leaving=0
ts=2026-03-13T01:29:39.8Z vm=core-1 event=decision kind=serve subject=m-11 choice=serving runner_up= reason="all members ready"
ts=2026-03-13T01:29:40.0Z vm=core-1 event=decision kind=break subject=m-11 choice=broken runner_up=wait reason="member 10.0.0.1:80 restarted"
ts=2026-03-13T01:29:49.0Z vm=core-2 event=pool pool=p living=9 serving=8 loading=0 held=0 free=1 dead=1 leaving=0
`

// The summary must show how long VMs were idle, why groups broke and how long each repair step
// took. Time without a leader must not be counted.
func TestPoolReport(t *testing.T) {
	r := logs(t, poolLog).Pools()
	assert.Equal(t, r.Seconds["p"]["serving"], 8.0+4*maxSampleTime.Seconds())
	assert.Equal(t, r.Seconds["p"]["free"], 2.0+1*maxSampleTime.Seconds())
	assert.Equal(t, r.Seconds["p"]["dead"], maxSampleTime.Seconds())
	assert.DeepEqual(t, r.Reasons, map[string]int{"no entry gets answers": 1, "member restarted": 1})
	assert.Equal(t, r.Suspected, 2)
	assert.Equal(t, r.Acted, 1)
	assert.Equal(t, len(r.Repairs), 2)
	assert.Equal(t, r.Repairs[0].Formed, 500*time.Millisecond)
	assert.Equal(t, r.Repairs[0].Served, time.Second)
	assert.Equal(t, r.Repairs[1].Formed, stepNotLogged)
	median, longest, shown := r.Steps(func(r Repair) time.Duration { return r.Formed })
	assert.Equal(t, median, 500*time.Millisecond)
	assert.Equal(t, longest, median)
	assert.Equal(t, shown, 1)
}
