package entry

import (
	"maps"
	"time"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/placement"
)

// gateOf returns the gate of a model. The caller holds the lock.
func (d *dispatcher) gateOf(model string) *admission.Gate {
	gate := d.gates[model]
	if gate == nil {
		gate = admission.NewGate()
		d.gates[model] = gate
	}
	return gate
}

// removeIdleGates removes the gates of models without a target. A gate stays while attempts
// that it counts have not begun or ended. The caller holds the lock.
func (d *dispatcher) removeIdleGates() {
	maps.DeleteFunc(d.gates, func(model string, gate *admission.Gate) bool {
		return !d.servedPools[model] && gate.HasNonePending()
	})
}

// onTimeUntil returns until when a job must be sent for its first event to be on time; zero for
// a job without an objective. The caller holds the lock.
func (d *dispatcher) onTimeUntil(j *job) time.Time {
	if !j.isGated() {
		return time.Time{}
	}
	objective := j.firstEventObjective()
	left := 1 - d.gateOf(j.model).ExpectedFirstEventRatio()
	return j.firstSent.Add(time.Duration(left * float64(objective)))
}

// endAttemptLocked removes an attempt from its target and from its model's gate. The caller
// holds the lock.
func (d *dispatcher) endAttemptLocked(now time.Time, attempt string, r placement.Result) (placement.TrustChange, bool) {
	change, isChanged := d.picker.RecordFinish(now, attempt, r)
	if model, counted := d.awaitingFirstEvent[attempt]; counted {
		delete(d.awaitingFirstEvent, attempt)
		d.gateOf(model).EndedBeforeFirstEvent()
	}
	return change, isChanged
}
