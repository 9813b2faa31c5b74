package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// NoClass is the class tag of requests that name no class.
const NoClass = "none"

// Answered is the outcome of a successful request.
const Answered = "answered"

// Entry holds the metrics of the entry role. A nil Entry records nothing, so tests need not
// create one.
type Entry struct{ scope tally.Scope }

// Request describes one request with its final answer.
type Request struct {
	Workspace string
	Class     string
	// Outcome is Answered or the failure type. Ran states, for a failure, whether the request
	// ran.
	Outcome string
	Ran     string
	// Queued is the time before the first attempt. FirstToken and Whole (the total time) count
	// from the arrival of the request. A FirstToken of zero is not recorded.
	Queued     time.Duration
	FirstToken time.Duration
	Whole      time.Duration
	Tokens     int
}

// Request records the final answer of a request.
func (e *Entry) Request(r Request) {
	if e == nil {
		return
	}
	class := tagOrNone(r.Class)
	e.scope.Tagged(map[string]string{
		"workspace": r.Workspace, "class": class, "outcome": r.Outcome, "ran": tagOrNone(r.Ran),
	}).Counter(nameRequests).Inc(1)
	scope := e.scope.Tagged(map[string]string{"class": class})
	scope.Timer(nameQueued).Record(r.Queued)
	if r.Outcome != Answered {
		return
	}
	scope.Counter(nameTokens).Inc(int64(r.Tokens))
	if r.FirstToken > 0 {
		scope.Timer(nameFirstToken).Record(r.FirstToken)
	}
	scope.Timer(nameRequestTime).Record(r.Whole)
}

// Attempt records how an attempt on a backend server ended: "whole",
// "not_started", "broken", "unreadable", "stalled" or "ended".
func (e *Entry) Attempt(outcome string) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"outcome": outcome}).Counter(nameAttempts).Inc(1)
}

// AnswerCut counts an answer that had begun and that its caller did not receive to its end, by cause.
func (e *Entry) AnswerCut(cause string) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"cause": cause}).Counter(nameAnswersCut).Inc(1)
}

// Dial records a connection that was attempted to a backend server by how the attempt ended:
// "connected", "refused", "timed_out" or "failed".
func (e *Entry) Dial(outcome string, took time.Duration) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"outcome": outcome}).Timer(nameDialTime).Record(took)
}

// RelayedAttempt counts an attempt that another entry relayed.
func (e *Entry) RelayedAttempt() {
	if e == nil {
		return
	}
	e.scope.Counter(nameRelayedAttempts).Inc(1)
}

// Relay counts a request of another entry for a relay by how it ended.
func (e *Entry) Relay(outcome string) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"outcome": outcome}).Counter(nameRelays).Inc(1)
}

// PathCheck counts a check whether a backend server can be reached by what it found.
func (e *Entry) PathCheck(state string) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"state": state}).Counter(namePathChecks).Inc(1)
}

// AttemptCut counts an attempt that may have run and whose backend server closed the connection
// before its end.
func (e *Entry) AttemptCut() {
	if e == nil {
		return
	}
	e.scope.Counter(nameAttemptsCut).Inc(1)
}

// CrashCheck counts a check whether a backend server has crashed by its verdict.
func (e *Entry) CrashCheck(verdict string) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"verdict": verdict}).Counter(nameCrashChecks).Inc(1)
}

// SuspectWrite counts what this entry writes about suspects by whether the leader took it.
func (e *Entry) SuspectWrite(taken bool) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"outcome": reportOutcome(taken)}).Counter(nameSuspectWrites).Inc(1)
}

func reportOutcome(taken bool) string {
	if taken {
		return "taken"
	}
	return "lost"
}

// RateLimitedAttempt counts an attempt on a backend server that has announced a rate limit.
func (e *Entry) RateLimitedAttempt() {
	if e == nil {
		return
	}
	e.scope.Counter(nameRateLimitedAttempts).Inc(1)
}

// BackoffRequested counts an answer in which a backend server asked for no request for a time.
func (e *Entry) BackoffRequested() {
	if e == nil {
		return
	}
	e.scope.Counter(nameBackoffRequests).Inc(1)
}

// ServerSetAside counts a backend server that gets no request for a time, as its answers can't be read.
func (e *Entry) ServerSetAside() {
	if e == nil {
		return
	}
	e.scope.Counter(nameServersSetAside).Inc(1)
}

// ServerLeaving counts a backend server that has stated in an answer that it is leaving.
func (e *Entry) ServerLeaving() {
	if e == nil {
		return
	}
	e.scope.Counter(nameServersLeaving).Inc(1)
}

// AttemptWithheld counts an attempt that was not sent after its target had been chosen, by the reason.
func (e *Entry) AttemptWithheld(reason string) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"reason": reason}).Counter(nameAttemptsWithheld).Inc(1)
}

// DemandReport counts a report of observed demand by whether the leader took it.
func (e *Entry) DemandReport(taken bool) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"outcome": reportOutcome(taken)}).Counter(nameDemandReports).Inc(1)
}

// CoordinatorDecision counts a decision of this entry as a coordinator: "granted", "decide", or
// the reason of a refusal.
func (e *Entry) CoordinatorDecision(outcome string) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"outcome": outcome}).Counter(nameCoordinatorDecisions).Inc(1)
}

// CoordinatorFallback counts a request that this entry decided itself while its model was short
// of room.
func (e *Entry) CoordinatorFallback(cause string) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"cause": cause}).Counter(nameCoordinatorFallbacks).Inc(1)
}

// Claim records the duration of writing an at-most-once claim.
func (e *Entry) Claim(took time.Duration) {
	if e == nil {
		return
	}
	e.scope.Timer(nameClaimTime).Record(took)
}

// The outcomes of a write about a claim: it is held by a majority, one try failed, or the entry
// has given up.
const (
	RecordWritten   = "written"
	RecordTryFailed = "try_failed"
	RecordGivenUp   = "given_up"
)

// RecordWrite counts a write about a claim. took is the time since the end of the run, and is
// recorded for RecordWritten.
func (e *Entry) RecordWrite(kind, outcome string, took time.Duration) {
	if e == nil {
		return
	}
	e.scope.Tagged(map[string]string{"kind": kind, "outcome": outcome}).Counter(nameRecordWrites).Inc(1)
	if outcome == RecordWritten {
		e.scope.Tagged(map[string]string{"kind": kind}).Timer(nameRecordTime).Record(took)
	}
}

// FirstEvent records the time to a first event against what was predicted.
func (e *Entry) FirstEvent(model string, predicted, took time.Duration) {
	if e == nil || predicted <= 0 {
		return
	}
	ratio := took.Seconds() / predicted.Seconds()
	e.scope.Tagged(map[string]string{"model": model}).Timer(nameFirstEventRatio).Record(time.Duration(ratio * float64(time.Second)))
}

// EntrySample is the current state of an entry.
type EntrySample struct {
	Open, Waiting, Routes int
	// RateLimited counts the backend servers that have announced a rate limit.
	RateLimited int
	// BackedOff counts the backend servers that have asked for no request for a time.
	BackedOff int
	// SharedWaiting counts the requests of all entries that wait at this one as a coordinator,
	// Grants its grants that have not ended.
	SharedWaiting, Grants int
	Lease                 time.Duration
	ConfigRevision        uint64
	// Suspects counts the requests on the board that were running when a backend server crashed,
	// Attributed those of them that are refused for it.
	Suspects, Attributed int
	// SuspectParts and AttributedParts count the same of the parts of prompts.
	SuspectParts, AttributedParts int
	// RelayedServers counts the backend servers that are reached through other entries, OpenRelays
	// the connections that are relayed for others.
	RelayedServers, OpenRelays int
	// RequestLimits holds the limit of a serving group in requests by model.
	RequestLimits map[string]int
}

// Sample sets the gauges of the entry role.
func (e *Entry) Sample(s EntrySample) {
	if e == nil {
		return
	}
	e.scope.Gauge(nameOpen).Update(float64(s.Open))
	e.scope.Gauge(nameWaiting).Update(float64(s.Waiting))
	e.scope.Gauge(nameRoutes).Update(float64(s.Routes))
	e.scope.Gauge(nameRateLimited).Update(float64(s.RateLimited))
	e.scope.Gauge(nameBackedOff).Update(float64(s.BackedOff))
	e.scope.Gauge(nameSharedWaiting).Update(float64(s.SharedWaiting))
	e.scope.Gauge(nameGrants).Update(float64(s.Grants))
	e.scope.Gauge(nameRelayedServers).Update(float64(s.RelayedServers))
	e.scope.Gauge(nameOpenRelays).Update(float64(s.OpenRelays))
	e.scope.Gauge(nameSuspects).Update(float64(s.Suspects))
	e.scope.Gauge(nameAttributed).Update(float64(s.Attributed))
	e.scope.Gauge(nameSuspectParts).Update(float64(s.SuspectParts))
	e.scope.Gauge(nameAttributedParts).Update(float64(s.AttributedParts))
	e.scope.Gauge(nameLease).Update(max(0, s.Lease).Seconds())
	e.scope.Gauge(nameConfigRevision).Update(float64(s.ConfigRevision))
	for model, limit := range s.RequestLimits {
		e.scope.Tagged(map[string]string{"model": model}).Gauge(nameRequestLimit).Update(float64(limit))
	}
}

// IntakeSample is what became of the new connections of callers since the last sample, and why.
type IntakeSample struct {
	Accepted, Refused int
	// Limit is the number of connections in use up to which new ones are accepted; 0 if there is no limit.
	Limit, InUse int
	// Delay is how long goroutines waited for a processor.
	Delay time.Duration
}

// Intake records what became of new connections of callers.
func (e *Entry) Intake(s IntakeSample) {
	if e == nil {
		return
	}
	for outcome, n := range map[string]int{"accepted": s.Accepted, "refused": s.Refused} {
		e.scope.Tagged(map[string]string{"outcome": outcome}).Counter(nameConnections).Inc(int64(n))
	}
	e.scope.Gauge(nameConnectionLimit).Update(float64(s.Limit))
	e.scope.Gauge(nameConnectionsInUse).Update(float64(s.InUse))
	e.scope.Gauge(nameSchedulingDelay).Update(s.Delay.Seconds())
}

func tagOrNone(tag string) string {
	if tag == "" {
		return NoClass
	}
	return tag
}
