// Package backend holds what the system and the backend servers say to each
// other: announcements, orders, generations and plain-service calls. The
// published form of the protocol is docs/backend-protocol.md.
//
// Only this package knows the wire. The rest of the system sees Engines and
// Services, so that another engine protocol needs another client here and
// nothing else.
package backend

// Kind tells an engine from a plain service.
type Kind string

// The kinds of backend server.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Phase is what an engine says of its part in a serving group.
type Phase string

// The phases an engine reports. An idle engine holds no group and has
// confirmed its release.
const (
	PhaseIdle      Phase = "idle"
	PhaseLoading   Phase = "loading"
	PhaseReady     Phase = "ready"
	PhaseReleasing Phase = "releasing"
	PhaseFailed    Phase = "failed"
	// PhaseOpen and PhaseClosing are of the head of a group that opens: it
	// takes requests, or finishes those that it has.
	PhaseOpen    Phase = "open"
	PhaseClosing Phase = "closing"
)

// Announcement is what a backend server posts to an entry about once a
// second. It is its registration, its heartbeat and its load report at once.
type Announcement struct {
	// ID is the stable name of the VM (engine) or of the instance (service).
	ID string `json:"id"`
	// Incarnation changes each time the process starts. Work and group
	// membership of an earlier incarnation are gone.
	Incarnation string `json:"incarnation"`
	// StartedMillis is when this incarnation started, in Unix milliseconds by the
	// clock of its host; 0 where the protocol does not tell. Of two incarnations
	// of one backend server the one that started later is the present one.
	StartedMillis int64 `json:"started_ms,omitempty"`
	// Sequence grows with each announcement of one incarnation, so that a
	// delayed copy is told from a newer one.
	Sequence     uint64 `json:"sequence"`
	Kind         Kind   `json:"kind"`
	Address      string `json:"address"`
	DataCentre   string `json:"data_centre"`
	FabricDomain string `json:"fabric_domain"`
	// Leaving asks the system to send no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ColdMillis is how much longer the backend server bears fewer requests than usual, as
	// it started or stood idle not long ago; 0 if it bears its usual load.
	ColdMillis int64 `json:"cold_ms,omitempty"`
	// Load may lag the truth by seconds; Load.AtMillis says by how much.
	Load *Load `json:"load,omitempty"`

	// Service is the plain service's name; empty for an engine.
	Service string `json:"service,omitempty"`

	// Accelerators is how many accelerators the engine's VM holds.
	Accelerators int `json:"accelerators,omitempty"`
	// Group and Epoch name the serving group that the engine is part of.
	Group string `json:"group,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
	Phase Phase  `json:"phase,omitempty"`
	Model string `json:"model,omitempty"`
	// Unreachable lists the members of its group that the engine has lost.
	Unreachable []string `json:"unreachable,omitempty"`
	// Weights lists the models whose weights the VM holds locally.
	Weights []string `json:"weights,omitempty"`
	// Cache carries hints about cached prompt prefixes, late and with gaps.
	Cache []CacheEvent `json:"cache,omitempty"`
}

// Load is an engine's or a plain service's own view of its load.
type Load struct {
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	TokensInFlight  int     `json:"tokens_in_flight"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Capacity is the number of tokens in flight that it serves well; 0 is
	// unknown.
	Capacity int `json:"capacity,omitempty"`
	// AtMillis is the age of the report when it was sent, in milliseconds.
	AtMillis int64 `json:"age_ms"`
}

// CacheEvent says that prefix blocks entered or left an engine's cache.
// Sequence has no holes when no event was lost.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Added    []uint64 `json:"added,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	// IntervalMillis is how long to wait before the next announcement.
	IntervalMillis int64 `json:"interval_ms"`
	// Entries are the addresses that take announcements, so that a backend
	// server finds another when this one is gone.
	Entries []string `json:"entries,omitempty"`
}
