package standin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// StreamFault names what is wrong with an answer.
type StreamFault string

// The faults of an answer. Each happens after StreamFaults.After tokens, or,
// for a plain service, after that many bytes of the body.
const (
	// StreamCut closes the connection before the end mark.
	StreamCut StreamFault = "cut"
	// StreamCrossed sends an event of another attempt.
	StreamCrossed StreamFault = "crossed"
	// StreamDoubled sends one token twice.
	StreamDoubled StreamFault = "doubled"
	// StreamSkipped leaves one token out.
	StreamSkipped StreamFault = "skipped"
	// StreamShort sends the end mark early, with the whole answer's total.
	StreamShort StreamFault = "short"
	// StreamMalformed sends a line that is no JSON.
	StreamMalformed StreamFault = "malformed"
	// StreamOverlong sends a line of overlongBytes.
	StreamOverlong StreamFault = "overlong"
	// StreamStalled sends nothing more, not even keep-alives.
	StreamStalled StreamFault = "stalled"
	// StreamLate sends nothing for DelayMillis and then goes on.
	StreamLate StreamFault = "late"
)

// StreamFaults say which answers go wrong and how.
type StreamFaults struct {
	Kind StreamFault `json:"kind,omitempty"`
	// After is the number of tokens sent well before the fault.
	After int `json:"after,omitempty"`
	// DelayMillis is the length of StreamLate.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// Marker limits the fault to requests that hold it.
	Marker string `json:"marker,omitempty"`
	// Answers limits the fault to so many answers; 0 is no limit.
	Answers int `json:"answers,omitempty"`
}

// Faults are the lasting faults of a stand-in. A post to /debug/faults
// replaces them all.
type Faults struct {
	// CrashMarker crashes the stand-in on a request that holds it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// SlowFactor multiplies the time of all work; 0 and 1 are normal.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LostMembers are VMs of the group that this engine no longer hears.
	LostMembers []string `json:"lost_members,omitempty"`
	// IgnoreCancel keeps a generation running after it is cancelled and
	// after its caller has gone.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// Muted stops the announcements while all else goes on.
	Muted bool `json:"muted,omitempty"`
	// FullQueue refuses all new work as busy.
	FullQueue bool         `json:"full_queue,omitempty"`
	Stream    StreamFaults `json:"stream,omitzero"`
}

// FaultOrder is the body of a post to /debug/faults: lasting faults, and
// faults that happen once, when the post arrives.
type FaultOrder struct {
	Faults
	// Crash ends the stand-in, which comes back as a new incarnation.
	Crash bool `json:"crash,omitempty"`
	// PauseMillis stops all of the stand-in for so long.
	PauseMillis int64 `json:"pause_ms,omitempty"`
	// Silence makes the open connections silent for good.
	Silence bool `json:"silence,omitempty"`
	// Leaving announces that the stand-in wants no new work.
	Leaving *bool `json:"leaving,omitempty"`
	// RateLimit is named from now on in each answer to a generation or call, in requests a
	// second; 0 names none. Nothing is refused for it, and such an order changes nothing else.
	RateLimit *float64 `json:"rate_limit,omitempty"`
}

// faultState holds the faults in force.
type faultState struct {
	mu            sync.Mutex
	faults        Faults
	rateLimit     float64
	faultyAnswers int
}

func (b *faultState) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	b.faultyAnswers = 0
}

func (b *faultState) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

func (b *faultState) limitRate(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rateLimit = perSecond
}

// nameRateLimit names the rate limit in the header of an answer, if there is one.
func (b *faultState) nameRateLimit(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rateLimit > 0 {
		h.Set(backend.HeaderRateLimit, strconv.FormatFloat(b.rateLimit, 'f', -1, 64))
	}
}

// crashes tells whether a request with this text crashes the stand-in.
func (b *faultState) crashes(text string) bool {
	marker := b.get().CrashMarker
	return marker != "" && strings.Contains(text, marker)
}

// takeStream returns the fault of a new answer, and counts it.
func (b *faultState) takeStream(text string) StreamFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.faults.Stream
	if f.Kind == "" || !strings.Contains(text, f.Marker) {
		return StreamFaults{}
	}
	if f.Answers > 0 && b.faultyAnswers >= f.Answers {
		return StreamFaults{}
	}
	b.faultyAnswers++
	return f
}

// scale applies SlowFactor to a duration of work.
func (b *faultState) scale(d time.Duration) time.Duration {
	factor := b.get().SlowFactor
	if factor <= 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}
