package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// Guards against holding each request of a model for the failover time long after the model's
// last group has been removed.
func TestModelWithoutGroupsIsRefusedAtOnce(t *testing.T) {
	d := newDispatcher(placement.Options{})
	start := time.Now()
	offer := func(id string) *failure.Error {
		_, e := d.offer(&job{id: id, model: "m", deadline: time.Now().Add(time.Minute)})
		return e
	}
	serve := func(at time.Time, models ...string) {
		var targets []placement.Target
		for _, m := range models {
			targets = append(targets, placement.Target{ID: m, Model: m})
		}
		d.setRoutes(at, map[string]route{}, targets, map[string]bool{})
	}
	serve(start.Add(-time.Minute), "m")
	serve(start.Add(-time.Second))
	assert.Assert(t, offer("failing over") == nil)

	serve(start.Add(-20*time.Second), "m")
	serve(start.Add(-2 * failoverWait))
	e := offer("removed")
	assert.Equal(t, e.Type, failure.TypeNoBackendServer)
	assert.Equal(t, e.Ran, failure.RanNo)
	assert.Assert(t, e.RetryAfter > 0)
}
