package entry

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/placement"
)

// firstEventRecord describes the first event of a stream.
type firstEventRecord struct {
	// took is the time from the send; predicted is what was predicted then, 0 if nothing was.
	took, predicted time.Duration
	// load is the load that the answer reports; nil if it reports none.
	load *backend.ServerLoad
}

// fields returns the key-value pairs of a log line.
func (r firstEventRecord) fields() []any {
	if r.took == 0 {
		return nil
	}
	fields := []any{"first_event_ms", r.took.Milliseconds(), "predicted_ms", r.predicted.Milliseconds()}
	if r.load != nil {
		fields = append(fields, "running", r.load.Running, "engine_queued", r.load.Queued)
	}
	return fields
}

// firstEventObjective returns the time within which the job's first event should come; 0 for a
// job without such an objective.
func (j *job) firstEventObjective() time.Duration {
	if !j.isGated() {
		return 0
	}
	return time.Duration(j.forward.route.ObjectiveMillis) * time.Millisecond
}

// firstEvent records the first event of a job's attempt, which came after the time took, and the
// load that the answer reports. It returns the time that was predicted; 0 if none was.
func (d *dispatcher) firstEvent(j *job, attempt string, took time.Duration, load *backend.ServerLoad) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	model, counted := d.awaitingFirstEvent[attempt]
	if !counted {
		return 0
	}
	delete(d.awaitingFirstEvent, attempt)
	now := time.Now()
	objective := j.firstEventObjective()
	d.gateOf(model).FirstEvent(now, took, objective)
	predicted := time.Duration(0)
	if load != nil {
		l := placement.Load{Running: load.Running, Queued: load.Queued}
		predicted = d.picker.RecordFirstEvent(attempt, l, took, objective)
	}
	d.dispatchWaiting(now)
	return predicted
}

// recordFirstEvent records the first event of a job's attempt, which came after the time took, with
// the load that the answer reports.
func (s *Server) recordFirstEvent(j *job, g grant, took time.Duration, load *backend.ServerLoad) {
	predicted := s.dispatcher.firstEvent(j, g.attempt, took, load)
	j.forward.firstEvent = firstEventRecord{took: took, predicted: predicted, load: load}
	if predicted > 0 {
		s.o.Metrics.FirstEvent(j.model, predicted, took)
	}
}
