package entry

import (
	"maps"
	"time"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/placement"
)

// gateOf returns the gate of a model. The lock is held.
func (d *dispatcher) gateOf(model string) *admission.Gate {
	gate := d.gates[model]
	if gate == nil {
		gate = admission.NewGate()
		d.gates[model] = gate
	}
	return gate
}

// dropGates forgets the gates of models without a target. One whose attempts
// have yet to begin or end stays. The lock is held.
func (d *dispatcher) removeIdleGates() {
	maps.DeleteFunc(d.gates, func(model string, gate *admission.Gate) bool {
		return !d.servedPools[model] && gate.Idle()
	})
}

// began notes the first event of a job's attempt.
func (d *dispatcher) firstEvent(j *job, attempt string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	model, counted := d.awaitingFirstEvent[attempt]
	if !counted {
		return
	}
	delete(d.awaitingFirstEvent, attempt)
	now := time.Now()
	objective := time.Duration(j.forward.route.ObjectiveMillis) * time.Millisecond
	d.gateOf(model).Began(now, took, objective)
	d.dispatchWaiting(now)
}

// onTimeUntil is until when a job must be sent for its first event to be on time;
// zero for one without an objective for that. The lock is held.
func (d *dispatcher) onTimeUntil(j *job) time.Time {
	if !j.isGated() {
		return time.Time{}
	}
	objective := time.Duration(j.forward.route.ObjectiveMillis) * time.Millisecond
	left := 1 - d.gateOf(j.model).Expected()
	return j.firstSent.Add(time.Duration(left * float64(objective)))
}

// finished takes an attempt off its target and its model's gate. The lock is
// held.
func (d *dispatcher) endAttemptLocked(now time.Time, attempt string, r placement.Result) {
	d.picker.Finished(now, attempt, r)
	if model, counted := d.awaitingFirstEvent[attempt]; counted {
		delete(d.awaitingFirstEvent, attempt)
		d.gateOf(model).Ended()
	}
}
