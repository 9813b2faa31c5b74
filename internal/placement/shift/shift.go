// Package shift decides which engines move between models and roles when the
// demand for one outgrows its engines while another has engines to spare.
//
// It has no I/O, no goroutine and no clock. A move costs: the engine serves
// nobody while it drains and loads, its prefix cache is lost, and the weight
// store is rate-limited. So a move needs a pressure that lasts, and a gain that
// outweighs the load.
package shift

import "time"

// Key names a pool: the engines that serve one model in one role.
type Key struct {
	Model string
	// Role is the part of the work that the engines do, or empty for all.
	Role string
}

// Engine is one unit that moves as a whole: an engine, or a serving group.
type Engine struct {
	ID string
	// Running is the number of requests in flight on it.
	Running int
	// Holds are the models whose weights it has at hand.
	Holds []string
	// Since is when it came to its pool.
	Since time.Time
	// Loading is true until it serves.
	Loading bool
}

// Pool is what the planner sees of a pool.
type Pool struct {
	Key     Key
	Engines []Engine
	// Demand is the work in tokens a second that callers ask for: what is
	// served, waits and was refused.
	Demand float64
	// PerEngine is the work in tokens a second that one engine does.
	PerEngine float64
	// Worth weighs a token of this pool against one of another.
	Worth float64
	// Least is the number of engines that the pool always keeps.
	Least int
	// LoadTime is how long an engine takes that doesn't hold the weights.
	LoadTime time.Duration
}

// Move orders an engine to another pool.
type Move struct {
	Engine   string
	From, To Key
	// Gain is the worth of the tokens served more within the horizon, less the
	// cost of the move.
	Gain float64
	// LoadTime is how long the engine is expected to serve nobody.
	LoadTime time.Duration
}

// Options are the settings of a Planner. Zero fields take the defaults.
type Options struct {
	// Overloaded is the load, as a part of a pool's capacity, above which it
	// asks for engines.
	Overloaded float64
	// Spare is the load below which a pool must stay after it gave one.
	Spare float64
	// Hold is how long the pressure must last.
	Hold time.Duration
	// Stay is how long an engine stays in a pool at least.
	Stay time.Duration
	// Horizon is how long a change of demand is expected to last.
	Horizon time.Duration
	// Loads bounds the engines that load at once.
	Loads int
	// StrandedWeight weighs the work that an engine can't do while it loads:
	// higher where stranded accelerators hurt more.
	StrandedWeight float64
}

// Defaults of the Options' fields.
const (
	// DefaultOverloaded leaves a pool the room to absorb bursts of seconds;
	// above it the queue grows with each of them.
	DefaultOverloaded = 0.9
	// DefaultSpare keeps the giver well below DefaultOverloaded, so that it
	// doesn't ask for the engine back.
	DefaultSpare = 0.75
	// DefaultHold is longer than bursts, which admission absorbs.
	DefaultHold = 30 * time.Second
	// DefaultStay is several times a load, so that an engine serves for most of
	// its time however the demand swings.
	DefaultStay = 5 * time.Minute
	// DefaultHorizon is the time over which a load must pay for itself.
	DefaultHorizon = 10 * time.Minute
	// DefaultLoads keeps the loads of a shift from slowing each other down on
	// the rate-limited weight store.
	DefaultLoads = 2
	// DefaultStrandedWeight counts idle time as much as unserved demand.
	DefaultStrandedWeight = 1
)

// heldLoadPart is the part of LoadTime that an engine takes which holds the
// weights: no transfer from the store, only the load into the accelerators.
const heldLoadPart = 0.25

func (o Options) withDefaults() Options {
	setFloat(&o.Overloaded, DefaultOverloaded)
	setFloat(&o.Spare, DefaultSpare)
	setFloat(&o.StrandedWeight, DefaultStrandedWeight)
	setDuration(&o.Hold, DefaultHold)
	setDuration(&o.Stay, DefaultStay)
	setDuration(&o.Horizon, DefaultHorizon)
	if o.Loads <= 0 {
		o.Loads = DefaultLoads
	}
	return o
}

func setFloat(v *float64, fallback float64) {
	if *v <= 0 {
		*v = fallback
	}
}

func setDuration(v *time.Duration, fallback time.Duration) {
	if *v <= 0 {
		*v = fallback
	}
}
