// Package firstevent predicts how long a request waits at a serving group until its first event,
// and how many requests a group may hold so that their first events are on time.
//
// Situation: more requests arrive for some seconds than the groups begin in that time. A limit
// that is found by being late lets all of them wait a little too long at the engines, and the
// whole capacity goes into answers that miss their objective by 100 to 300 ms.
//
// Input: the engine's published figures, the numbers of requests that a group runs and queues,
// and observed first events. Output: a duration, and a limit in requests. An engine without
// published figures is predicted from observations alone. The package has no I/O, goroutines or
// clock.
package firstevent

import "time"

// Figures are the published figures of one model's serving groups. Zero fields are unknown.
type Figures struct {
	// Slots is how many requests a group runs at the same time.
	Slots int
	// Step is the base time of one step; each running request adds PerRequest.
	Step, PerRequest time.Duration
	// StepsPerPass is how many steps a group makes between two events of a stream.
	StepsPerPass int
	// PromptTokensPerSecond is the speed at which prompts are read, ChunkTokens the most that is
	// read in one step.
	PromptTokensPerSecond float64
	ChunkTokens           int
	// Pace multiplies all times of the group.
	Pace float64
	// UsualPrompt and UsualAnswer are mean lengths in tokens.
	UsualPrompt, UsualAnswer int
}

// Load is what is known of a group's load when a request is sent to it.
type Load struct {
	// Running and Queued are the requests that the group runs and queues.
	Running, Queued int
	// PromptTokens is the length of the prompt of the request that arrives; 0 stands for the usual one.
	PromptTokens int
}

const (
	// waitForPass is the mean time until the next pass begins, in passes.
	waitForPass = 0.5
	// maxQueuedFraction bounds the requests that a group may queue, as a fraction of its slots. A
	// short queue fills the slots without a round trip when requests end.
	maxQueuedFraction = 0.05
	// minLimitFraction bounds the limit from below, as a fraction of the slots. With fewer requests
	// a group gives up more answers than the shorter passes bring on time.
	minLimitFraction = 0.5
	// objectiveFraction is the fraction of the objective that the predicted mean may take. The rest
	// is left for the spread of the first events.
	objectiveFraction = 0.9
	// maxReadUse bounds the part of the chunks that is taken to be in use.
	maxReadUse = 0.98
)

// IsKnown reports whether the figures suffice for a prediction.
func (f Figures) IsKnown() bool {
	return f.Slots > 0 && f.Step > 0 && f.StepsPerPass > 0 && f.PromptTokensPerSecond > 0
}

// Predict returns the mean time from the arrival of a request at a group to its first event; 0 if
// the figures are not known. It consists of the wait for a slot, the rest of the present pass, and
// the pass in which the request's prompt is read and its first event made.
func (f Figures) Predict(l Load) time.Duration {
	if !f.IsKnown() {
		return 0
	}
	prompt := l.PromptTokens
	if prompt <= 0 {
		prompt = f.UsualPrompt
	}
	running := min(l.Running, f.Slots)
	waiting := l.Queued
	if l.Running >= f.Slots {
		// The request itself needs a slot to become free.
		waiting += l.Running - f.Slots + 1
	}
	seconds := f.passSeconds(running)*(1+waitForPass) + f.readSeconds(float64(prompt)) + f.readWaitSeconds(running)
	if waiting > 0 {
		seconds += float64(waiting) * f.ServiceTime().Seconds() / float64(f.Slots)
	}
	return fromSeconds(seconds)
}

// ServiceTime returns how long a request of usual length holds a slot while all slots are in use;
// 0 if the figures are not known.
func (f Figures) ServiceTime() time.Duration {
	if !f.IsKnown() {
		return 0
	}
	return fromSeconds(f.passes() * f.passSeconds(f.Slots))
}

// passes returns the number of passes of a request of usual length.
func (f Figures) passes() float64 {
	return max(1, float64(f.UsualAnswer)/float64(f.StepsPerPass))
}

// passSeconds returns the time of one pass with the given number of running requests. As many
// requests begin as end, so each pass also reads the prompts of those that begin in it, up to a
// chunk in each step.
func (f Figures) passSeconds(running int) float64 {
	steps := float64(f.StepsPerPass) * (f.Step + time.Duration(running)*f.PerRequest).Seconds()
	tokens := f.promptTokensPerPass(running)
	if f.ChunkTokens > 0 {
		tokens = min(tokens, f.chunksPerPass())
	}
	return f.pace()*steps + f.readSeconds(tokens)
}

// readWaitSeconds returns the mean time that a prompt waits until the prompts before it are read.
// Prompts share the chunks of a pass, so the wait grows without bound as their tokens approach
// what the chunks hold (the mean wait of an M/D/1 queue).
func (f Figures) readWaitSeconds(running int) float64 {
	if f.ChunkTokens <= 0 {
		return 0
	}
	use := min(maxReadUse, f.promptTokensPerPass(running)/f.chunksPerPass())
	ownRead := float64(f.UsualPrompt) / f.chunksPerPass() * f.passSeconds(running)
	return ownRead * use / (2 * (1 - use))
}

// promptTokensPerPass returns the prompt tokens that arrive in one pass, as many requests begin as
// end. chunksPerPass returns the most that are read in one pass.
func (f Figures) promptTokensPerPass(running int) float64 {
	return float64(running) / f.passes() * float64(f.UsualPrompt)
}

func (f Figures) chunksPerPass() float64 { return float64(f.StepsPerPass * f.ChunkTokens) }

func (f Figures) readSeconds(tokens float64) float64 {
	return f.pace() * tokens / f.PromptTokensPerSecond
}

func (f Figures) pace() float64 {
	if f.Pace <= 0 {
		return 1
	}
	return f.Pace
}

// Limit returns the most requests that a group may hold, running and queued, so that one more
// request still begins within the objective. overhead is the time that first events take beyond
// the prediction, see Correction. Limit returns 0 if no limit follows: the figures or the objective
// are not known.
func Limit(f Figures, objective, overhead time.Duration) int {
	if !f.IsKnown() || objective <= 0 {
		return 0
	}
	target := fromSeconds(objectiveFraction*objective.Seconds()) - overhead
	least := max(1, int(minLimitFraction*float64(f.Slots)))
	most := f.Slots + int(maxQueuedFraction*float64(f.Slots))
	for n := most; n > least; n-- {
		if f.Predict(loadOf(n-1, f.Slots)) <= target {
			return n
		}
	}
	return least
}

// loadOf returns the load of a group that holds n requests.
func loadOf(n, slots int) Load { return Load{Running: min(n, slots), Queued: max(0, n-slots)} }

func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
