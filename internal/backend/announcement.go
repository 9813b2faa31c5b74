// Package backend implements the protocol between the system and backend servers:
// announcements, orders, generations and calls of plain services. It is specified in
// docs/backend-protocol.md.
//
// Only this package depends on the wire format. The rest of the system works with
// engines and services, so another engine protocol needs only another client here.
package backend

// Kind distinguishes engines from plain services.
type Kind string

// The kinds of backend server.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Phase is the state of an engine as a member of a serving group, as it reports it.
type Phase string

// The phases that an engine reports. An idle engine belongs to no group and has
// confirmed its release.
const (
	PhaseIdle      Phase = "idle"
	PhaseLoading   Phase = "loading"
	PhaseReady     Phase = "ready"
	PhaseReleasing Phase = "releasing"
	PhaseFailed    Phase = "failed"
	// PhaseOpen and PhaseClosing apply to the head of a group that opens. An open
	// head accepts requests; a closing head finishes the requests that it has.
	PhaseOpen    Phase = "open"
	PhaseClosing Phase = "closing"
)

// Announcement is the message that a backend server posts to an entry about once a
// second. It serves as registration, heartbeat and load report.
type Announcement struct {
	// ID is the stable name of the VM (engine) or of the instance (service).
	ID string `json:"id"`
	// Incarnation changes with each start of the process. Work and group
	// membership of an earlier incarnation are lost.
	Incarnation string `json:"incarnation"`
	// StartedMillis is the start time of this incarnation, in Unix milliseconds by
	// the clock of its host; 0 if the protocol does not state it. Of two incarnations
	// of a backend server, the one that started later is the current one.
	StartedMillis int64 `json:"started_ms,omitempty"`
	// Sequence grows with each announcement of an incarnation, so that receivers can
	// discard a delayed copy.
	Sequence     uint64 `json:"sequence"`
	Kind         Kind   `json:"kind"`
	Address      string `json:"address"`
	DataCentre   string `json:"data_centre"`
	FabricDomain string `json:"fabric_domain"`
	// Leaving requests that the system send no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ColdMillis is the rest of the slow-start period, during which the backend server
	// sustains less than its usual load because it started or was idle recently; 0 if it
	// sustains its usual load.
	ColdMillis int64 `json:"cold_ms,omitempty"`
	// Load may be seconds old; Load.AgeMillis is its age.
	Load *Load `json:"load,omitempty"`

	// Service is the plain service's name; empty for an engine.
	Service string `json:"service,omitempty"`

	// Accelerators is how many accelerators the engine's VM holds.
	Accelerators int `json:"accelerators,omitempty"`
	// Group and Epoch identify the serving group that the engine belongs to.
	Group string `json:"group,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
	Phase Phase  `json:"phase,omitempty"`
	Model string `json:"model,omitempty"`
	// Unreachable lists the members of the group to which the engine has lost its
	// connection.
	Unreachable []string `json:"unreachable,omitempty"`
	// Weights lists the models whose weights the VM holds locally.
	Weights []string `json:"weights,omitempty"`
	// Cache carries hints about cached prompt prefixes. Events may be late or missing.
	Cache []CacheEvent `json:"cache,omitempty"`
}

// Load is the load that an engine or a plain service reports of itself.
type Load struct {
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	TokensInFlight  int     `json:"tokens_in_flight"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Capacity is the number of tokens in flight that the backend server sustains; 0
	// if unknown.
	Capacity int `json:"capacity,omitempty"`
	// AgeMillis is the age of the report when it was sent, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// CacheEvent reports that prefix blocks entered or left an engine's cache. A gap in
// Sequence shows that an event was lost.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Added    []uint64 `json:"added,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	// IntervalMillis is how long to wait before the next announcement.
	IntervalMillis int64 `json:"interval_ms"`
	// Entries are the addresses that receive announcements. A backend server
	// announces to another of them when its current entry fails.
	Entries []string `json:"entries,omitempty"`
}
