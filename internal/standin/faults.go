package standin

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// StreamFault is a kind of fault in an answer.
type StreamFault string

// The faults of an answer. Each takes place after StreamFaults.After tokens, or, for a plain
// service, after that many bytes of the body.
const (
	// StreamCut closes the connection before the end mark.
	StreamCut StreamFault = "cut"
	// StreamCrossed sends an event of another attempt.
	StreamCrossed StreamFault = "crossed"
	// StreamDoubled sends one token twice.
	StreamDoubled StreamFault = "doubled"
	// StreamSkipped leaves one token out.
	StreamSkipped StreamFault = "skipped"
	// StreamShort sends the end mark early, with the total of the complete answer.
	StreamShort StreamFault = "short"
	// StreamMalformed sends a line that is not valid JSON.
	StreamMalformed StreamFault = "malformed"
	// StreamOverlong sends a line of overlongBytes.
	StreamOverlong StreamFault = "overlong"
	// StreamStalled sends nothing more, not even keep-alives.
	StreamStalled StreamFault = "stalled"
	// StreamLate pauses for DelayMillis and then continues.
	StreamLate StreamFault = "late"
)

// StreamFaults select the answers that get a fault, and the fault.
type StreamFaults struct {
	Kind StreamFault `json:"kind,omitempty"`
	// After is the number of tokens sent correctly before the fault.
	After int `json:"after,omitempty"`
	// DelayMillis is the duration of the pause of StreamLate.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// Marker limits the fault to requests whose text contains it.
	Marker string `json:"marker,omitempty"`
	// Answers limits the number of answers with the fault; 0 means no limit.
	Answers int `json:"answers,omitempty"`
}

// Faults are the persistent faults of a stand-in. A post to /debug/faults replaces all of them.
type Faults struct {
	// CrashMarker makes the stand-in crash on a request whose text contains it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// SlowFactor multiplies the duration of all work; 0 and 1 mean normal speed.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LostMembers are VMs of the group whose heartbeats this engine ignores.
	LostMembers []string `json:"lost_members,omitempty"`
	// IgnoreCancel keeps a generation running after it was cancelled and after its caller has
	// disconnected.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// Muted stops the announcements only.
	Muted bool `json:"muted,omitempty"`
	// FullQueue makes the stand-in refuse all new work as busy.
	FullQueue bool         `json:"full_queue,omitempty"`
	Stream    StreamFaults `json:"stream,omitzero"`
}

// FaultOrder is the body of a post to /debug/faults: persistent faults, and one-time faults
// that take effect when the post arrives.
type FaultOrder struct {
	Faults
	// LastingCrashMarker, if not nil, sets a CrashMarker that other orders do not replace. Such an
	// order sets nothing else.
	LastingCrashMarker *string `json:"lasting_crash_marker,omitempty"`
	// Crash crashes the stand-in, which restarts as a new incarnation.
	Crash bool `json:"crash,omitempty"`
	// PauseMillis pauses the whole stand-in for this time.
	PauseMillis int64 `json:"pause_ms,omitempty"`
	// Silence makes the open connections silent for good.
	Silence bool `json:"silence,omitempty"`
	// Leaving announces that the stand-in accepts no new work.
	Leaving *bool `json:"leaving,omitempty"`
	// RateLimit is announced in each further answer to a generation or call, in requests per
	// second; 0 announces none. It causes no refusals, and an order with RateLimit changes
	// nothing else.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	// RetryAfterMillis makes the stand-in refuse each further generation or call and ask in the
	// refusal for a back-off of so long; 0 ends it. An order with RetryAfterMillis changes nothing
	// else.
	RetryAfterMillis *int64 `json:"retry_after_ms,omitempty"`
	// RawAnswer is written in place of the answer to each further generation or call, and ends its
	// connection; "" ends that. An order with RawAnswer changes nothing else.
	RawAnswer *string `json:"raw_answer,omitempty"`
}

// faultState holds the active faults.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	// lastingCrashMarker is the crash marker that set does not replace; empty for none.
	lastingCrashMarker string
	rateLimit          float64
	// retryAfter is the back-off that refusals ask for; 0 if requests are not refused for it.
	retryAfter time.Duration
	// rawAnswer is written in place of answers; empty for none.
	rawAnswer string
	// isLeaving is set while answers state that the stand-in is leaving.
	isLeaving bool
	// arrivals holds the generations and calls that have arrived.
	arrivals []Arrival
	// faultyAnswers counts the answers that got the fault of Faults.Stream.
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

func (b *faultState) backOff(retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryAfter = retryAfter
}

func (b *faultState) leave(isLeaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isLeaving = isLeaving
}

// receive records a generation or call, sets the headers of its answer in which the stand-in
// states something about itself, and reports whether it refuses the request and asks for a
// back-off.
func (b *faultState) receive(h http.Header, incarnation, attempt string) (isRefused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, Arrival{
		At: time.Now(), Incarnation: incarnation, Attempt: attempt, RetryAfter: b.retryAfter, IsLeaving: b.isLeaving,
	})
	if b.rateLimit > 0 {
		h.Set(backend.HeaderRateLimit, strconv.FormatFloat(b.rateLimit, 'f', -1, 64))
	}
	if b.isLeaving {
		h.Set(backend.HeaderLeaving, "true")
	}
	if b.retryAfter > 0 {
		h.Set(backend.HeaderRetryAfter, strconv.FormatFloat(b.retryAfter.Seconds(), 'f', -1, 64))
	}
	return b.retryAfter > 0
}

func (b *faultState) received() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

func (b *faultState) setRawAnswer(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rawAnswer = text
}

// answerRaw writes the raw answer, if there is one, and reports whether it did.
func (b *faultState) answerRaw(w http.ResponseWriter) bool {
	b.mu.Lock()
	text := b.rawAnswer
	b.mu.Unlock()
	if text == "" {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
	return true
}

// crashes reports whether a request with this text crashes the stand-in.
func (b *faultState) crashes(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, marker := range []string{b.faults.CrashMarker, b.lastingCrashMarker} {
		if marker != "" && strings.Contains(text, marker) {
			return true
		}
	}
	return false
}

func (b *faultState) crashOn(marker string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastingCrashMarker = marker
}

// takeStream returns the fault for a new answer and counts it against Answers.
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

// scale multiplies the duration of work by SlowFactor.
func (b *faultState) scale(d time.Duration) time.Duration {
	factor := b.get().SlowFactor
	if factor <= 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}
