// Package placement chooses the backend server for each request that admission releases. A
// backend server is a serving group of a model or an instance of a plain service. The same
// rules hold for both; a call to a plain service counts as one token.
//
// The package has no I/O, goroutines or clock: the caller passes the current time to each
// method. It is not safe for concurrent use.
package placement

import "time"

// Options are the settings of a Picker. Zero fields take the defaults below.
type Options struct {
	// Seed seeds the random draws, so that two entries draw different samples.
	Seed uint64
	// Entry is the id of this entry.
	Entry string
	// DataCentre is the data centre that this process runs in.
	DataCentre string
	// LongTokens is the expected work, in tokens, from which a request counts as long.
	LongTokens int
	// LongFraction is the fraction of a backend server's limit, from 0 to 1, that long requests
	// may fill.
	LongFraction float64
	// TokenInterval is the longest time between two tokens of one request at which a backend
	// server may still receive more work.
	TokenInterval time.Duration
	// Ramp is the time over which a returning target's limit rises to its full value.
	Ramp time.Duration
	// SoleSender is set if all requests of the targets pass through this Picker. Its estimates
	// are then not scaled to other entries, the limits are the stated capacities, and each
	// choice considers all targets: no other entry chooses the same one unseen.
	SoleSender bool
	// UsualTime is the mean time of a request on a target; 0 if unknown. A SoleSender uses it for
	// requests that a target reports and that this Picker has not sent: it sees no end of them.
	UsualTime time.Duration
}

// Defaults of the fields of Options.
const (
	// DefaultLongTokens equals the default of admission.
	DefaultLongTokens = 4096
	// DefaultLongFraction keeps a fraction of each backend server free for short requests, so that
	// they never wait for a long one to end.
	DefaultLongFraction = 0.85
	// DefaultTokenInterval is the users' objective for the 95th percentile.
	DefaultTokenInterval = 62 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.LongTokens <= 0 {
		o.LongTokens = DefaultLongTokens
	}
	if o.LongFraction <= 0 {
		o.LongFraction = DefaultLongFraction
	}
	if o.TokenInterval <= 0 {
		o.TokenInterval = DefaultTokenInterval
	}
	if o.Ramp <= 0 {
		o.Ramp = defaultRampTime
	}
	return o
}

// Target is a backend server that requests may be routed to.
type Target struct {
	ID string
	// Server is the backend server that receives the target's requests. Its rate limit applies
	// to every target that it heads, now or later.
	Server     string
	DataCentre string
	// Region is the region of the target's data centre; empty if none is known.
	Region       string
	FabricDomain string
	// Model is the name of the model or of the plain service.
	Model string
	// Capacity is the work, in tokens, that the target handles well at the same time; 0 if
	// unknown.
	Capacity int
	// Plain is true for an instance of a plain service, where each call counts as one token.
	Plain bool
}

// Load is the last measurement that a backend server reported about itself.
type Load struct {
	Running int
	Queued  int
	// TokensInFlight is the work, in tokens, of all running and queued requests. It counts each
	// prompt and the whole expected output.
	TokensInFlight int
	// TokensPerSecond is the generation rate; 0 if the backend server does not report one.
	TokensPerSecond float64
	// InAnswer is true if the backend server reported the load in an answer to this entry, so that
	// other entries don't have the report.
	InAnswer bool
	// At is the time of the measurement by this process's clock. The report may arrive late.
	At time.Time
}

// Request holds the properties of a request that placement uses.
type Request struct {
	ID    string
	Model string
	// Prefix holds the chained hashes of the prompt's blocks: each hash covers all blocks up to
	// and including its own.
	Prefix []uint64
	// Session keeps requests without a Prefix on the same target.
	Session string
	// Tokens is the expected work, in tokens: prompt and output.
	Tokens int
	// ReservedFraction is the fraction of each backend server's limit, from 0 to 1, that this request
	// must leave free for requests of greater worth.
	ReservedFraction float64
	// Objective is the time within which the first event of the answer should come; 0 if there is
	// none.
	Objective time.Duration
	// Homes are the regions that may serve the request; nil allows any region.
	Homes []string
	// Exclude lists the ids of targets that already failed this request.
	Exclude []string
}

// Reason says why a backend server was chosen. Its value appears in logs.
type Reason string

// The reasons of a choice.
const (
	// ReasonCached means that the target is believed to hold the prompt's prefix in its cache.
	ReasonCached Reason = "prefix_cached"
	// ReasonAffinity means that rendezvous hashing maps the prompt's prefix to the target.
	ReasonAffinity Reason = "prefix_affinity"
	// ReasonTwoChoices means that the target is the less loaded of two random draws.
	ReasonTwoChoices Reason = "two_choices"
	// ReasonLeastLoaded means that the target is the least loaded of all.
	ReasonLeastLoaded Reason = "least_loaded"
	// ReasonProbe means that the target is slow and is tried again.
	ReasonProbe Reason = "probe_slow"
	// ReasonNoCapacity means that the target is the least loaded, although no target has free
	// capacity.
	ReasonNoCapacity Reason = "no_room"
)

// Choice is the result of Pick.
type Choice struct {
	ID string
	// RunnerUp is the id of the second best target; empty if there is none.
	RunnerUp string
	Reason   Reason
	// Score and RunnerUpScore are comparable within one Choice; a lower score is better. The
	// main term is the load as a fraction of the limit.
	Score         float64
	RunnerUpScore float64
	// Cached is how many blocks of the prefix the target is believed to hold.
	Cached int
}

// Result describes the end of an attempt.
type Result struct {
	// OK is true if the complete answer arrived.
	OK bool
	// Cancelled is true if this side ended the attempt. A cancelled attempt does not count as a
	// fault.
	Cancelled bool
	// Unreadable identifies the request if the bytes of its answer follow no protocol, exceed a limit or do not
	// end; it is empty otherwise.
	Unreadable string
	// FirstToken and Duration are measured from the call of RecordStart.
	FirstToken time.Duration
	Duration   time.Duration
	// Tokens is the number of generated tokens.
	Tokens int
}
