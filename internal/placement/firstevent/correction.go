package firstevent

import "time"

// correctionWeight is the weight of one observation. An entry observes a few first events of a
// model in a second.
const correctionWeight = 0.1

// Correction learns how much longer the first events of one model take than Predict states: the
// network, work before the prompt is read, and engines that are slower than their figures. Its zero
// value corrects nothing.
//
// It is a time and not a factor, because most of the difference is the same at any load. A sample
// counts up to the objective, which bounds the correction.
type Correction struct {
	overhead time.Duration
	observed bool
}

// Observe records the first event of a request, which came after the time took at a group with the
// given load. Requests that waited in the engine's queue are ignored: their order there is not known.
func (c *Correction) Observe(f Figures, l Load, took, objective time.Duration) {
	if l.Queued > 0 || took <= 0 {
		return
	}
	if f.Slots > 0 {
		// The load of an answer counts the request itself.
		l.Running = min(l.Running, f.Slots) - 1
	}
	sample := max(0, took-f.Predict(l))
	if objective > 0 {
		sample = min(sample, objective)
	}
	if !c.observed {
		c.observed = true
		c.overhead = sample
		return
	}
	c.overhead += fromSeconds(correctionWeight * (sample - c.overhead).Seconds())
}

// Overhead returns the learned time to add to a prediction; 0 before the first observation.
func (c *Correction) Overhead() time.Duration { return c.overhead }

// Expected returns the corrected prediction. For an engine without figures it is the mean observed
// time.
func (c *Correction) Expected(f Figures, l Load) time.Duration { return f.Predict(l) + c.overhead }
