// Package placement chooses the backend server for each request that
// admission lets go: a serving group of a model, or an instance of a plain
// service, by the same rules with one token for each call.
//
// It has no I/O, no goroutine and no clock: the caller passes the time to each
// method. It is not safe for concurrent use.
package placement

import "time"

// Options are the settings of a Picker. Zero fields take the defaults below.
type Options struct {
	// Seed makes the samples of two entries differ.
	Seed uint64
	// Entry is the id of this entry.
	Entry string
	// DataCentre is the one this process runs in.
	DataCentre string
	// LongTokens is the work from which a request counts as long.
	LongTokens int
	// LongShare is the part of a backend server's limit, from 0 to 1, up to
	// which it may be given long requests.
	LongShare float64
	// TokenInterval is the longest time between two tokens of one request at
	// which a backend server may be given more work.
	TokenInterval time.Duration
	// Ramp is how long a returning target takes until it gets its whole part.
	Ramp time.Duration
}

// Defaults of the Options' fields.
const (
	// DefaultLongTokens is admission's default as well.
	DefaultLongTokens = 4096
	// DefaultLongShare leaves short requests a part of each backend server, so
	// that they never wait until a long one ends.
	DefaultLongShare = 0.85
	// DefaultTokenInterval is the users' aim for 95 in 100.
	DefaultTokenInterval = 62 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.LongTokens <= 0 {
		o.LongTokens = DefaultLongTokens
	}
	if o.LongShare <= 0 {
		o.LongShare = DefaultLongShare
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
	// Server is the backend server that takes the target's requests. Its rate limit holds
	// for each target that it ever heads.
	Server     string
	DataCentre string
	// Region is that of its data centre; empty if none is known.
	Region       string
	FabricDomain string
	// Model is the model or the plain service.
	Model string
	// Capacity is the work in tokens that it holds well at once; 0 if unknown.
	Capacity int
	// Plain is true for an instance of a plain service, where each call counts
	// as one token.
	Plain bool
}

// Load is what a backend server last reported about itself.
type Load struct {
	Running int
	Queued  int
	// TokensInFlight is the work of all requests it holds, as expected at
	// their end: prompt and output, of those that run and those that wait.
	TokensInFlight int
	// TokensPerSecond is what it generates; 0 if it doesn't say.
	TokensPerSecond float64
	// At is when it measured this, in this process's clock. It may be late.
	At time.Time
}

// Request is what placement needs to know of a request.
type Request struct {
	ID    string
	Model string
	// Prefix holds the chained hashes of the prompt's blocks: each covers all
	// blocks up to its own.
	Prefix []uint64
	// Session keeps requests without Prefix together.
	Session string
	// Tokens is the expected work: prompt and output.
	Tokens int
	// Reserve is the part of each backend server, from 0 to 1, that this
	// request must leave free for requests of greater worth.
	Reserve float64
	// Homes are the regions that may serve the request; nil is any.
	Homes []string
	// Exclude names backend servers that failed this request.
	Exclude []string
}

// Reason says why a backend server was chosen. Its value appears in logs.
type Reason string

// The reasons of a choice.
const (
	// ReasonCached chose a holder of the prompt's prefix.
	ReasonCached Reason = "prefix_cached"
	// ReasonAffinity chose the server that this prefix hashes to.
	ReasonAffinity Reason = "prefix_affinity"
	// ReasonTwoChoices chose the less loaded of two drawn at random.
	ReasonTwoChoices Reason = "two_choices"
	// ReasonLeastLoaded chose the least loaded of all.
	ReasonLeastLoaded Reason = "least_loaded"
	// ReasonProbe tries a slow server again.
	ReasonProbe Reason = "probe_slow"
	// ReasonNoRoom chose the least loaded although none has room.
	ReasonNoRoom Reason = "no_room"
)

// Choice is the answer to Pick.
type Choice struct {
	ID string
	// RunnerUp is the second best, or empty.
	RunnerUp string
	Reason   Reason
	// Score and RunnerUpScore are comparable within one Choice; less is
	// better. The load as a part of the limit is their main term.
	Score         float64
	RunnerUpScore float64
	// Cached is how many blocks of the prefix the target is believed to hold.
	Cached int
}

// Result reports the end of an attempt.
type Result struct {
	// OK is true if the whole answer came.
	OK bool
	// Cancelled is true if this side ended the attempt; it is then no sign of
	// a fault.
	Cancelled bool
	// RetryAfter is how long the backend server asked to be left alone; 0 if it did not.
	RetryAfter time.Duration
	// FirstToken and Took are counted from Started.
	FirstToken time.Duration
	Took       time.Duration
	// Tokens is the generated output.
	Tokens int
}
