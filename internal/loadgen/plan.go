// Package loadgen drives a running system as its callers do and checks every
// answer: it is the engine of `citronstep load`.
//
// The load is bounded by a number of requests and by a duration, and drawn
// from a seed, so that two runs of one plan send the same requests, but for
// their idempotency keys.
package loadgen

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// The headers of the callers' API that the load uses.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerClass          = "Citronstep-Class"
	headerNonIdempotent  = "Citronstep-Non-Idempotent"
	headerTimeout        = "Citronstep-Timeout-Ms"
)

// Limits of a plan. They keep a slip of the finger from becoming an outage:
// one process of the tool is no match for them, so no honest plan meets them.
const (
	MaxCount       = 1_000_000
	MaxDuration    = time.Hour
	MaxRate        = 10_000
	MaxConcurrency = 4096
	MaxRetries     = 1000
)

// Flow is a kind of request that one workspace sends.
type Flow struct {
	// Name labels the flow in the report.
	Name string
	// Key is the workspace's key.
	Key   string
	Class string
	// Model names the model of a completion; Service and Path name a call of
	// a plain service instead.
	Model   string
	Service string
	Path    string
	// Weight is the flow's part of all requests against the other flows'.
	Weight int
	// PromptBytes and MaxTokens are the means of what is drawn for each
	// request, evenly from half to one and a half of it.
	PromptBytes int
	MaxTokens   int
	// Prefixes is how many different prompt beginnings the flow has.
	Prefixes      int
	Stream        bool
	NonIdempotent bool
	// Timeout is the deadline sent with each request; 0 sends none.
	Timeout time.Duration
}

// Plan is what to send and how.
type Plan struct {
	// Targets are the entries' addresses, as IP:port, used in turn.
	Targets []string
	Flows   []Flow
	// Rate is the arrivals a second of an open loop, whose requests do not
	// wait for each other; 0 makes a closed loop.
	Rate float64
	// Concurrency is the number of callers of a closed loop, and the bound on
	// open requests of an open one.
	Concurrency int
	// Count and Duration end the sending, whichever comes first.
	Count    int
	Duration time.Duration
	// Retries bounds how often one request is sent again, each time under its
	// first idempotency key and not before the Retry-After it was given.
	Retries int
	Seed    uint64
	// RunID sets this run's idempotency keys apart from those of earlier runs
	// of the same seed, whose answers the system may still keep.
	RunID string
	// GiveUp bounds the wait for one answer, retries included.
	GiveUp time.Duration
	// AllowRemote permits targets that are not on the loopback interface.
	AllowRemote bool
	// Expected returns the one right text of a completion, where the engines
	// are stand-ins; nil checks the shape of answers only.
	Expected func(prompt string, maxTokens int) string
}

// ErrPlan is the cause of every refusal of a plan.
const ErrPlan = errors.ConstError("faulty load plan")

// Check refuses a plan that can't be run, or could do harm.
func (p *Plan) Check() error {
	switch {
	case len(p.Targets) == 0:
		return errors.Annotate(ErrPlan, "no target")
	case len(p.Flows) == 0:
		return errors.Annotate(ErrPlan, "no flow")
	case p.Count < 1 || p.Count > MaxCount:
		return outOfRange("count", 1, MaxCount)
	case p.Duration <= 0 || p.Duration > MaxDuration:
		return errors.Annotate(ErrPlan, "duration: allowed are over 0 to "+MaxDuration.String())
	case p.Rate < 0 || p.Rate > MaxRate:
		return outOfRange("rate", 0, MaxRate)
	case p.Concurrency < 1 || p.Concurrency > MaxConcurrency:
		return outOfRange("concurrency", 1, MaxConcurrency)
	case p.Retries < 0 || p.Retries > MaxRetries:
		return outOfRange("retries", 0, MaxRetries)
	case p.GiveUp <= 0:
		return errors.Annotate(ErrPlan, "give-up time: allowed is over 0")
	}
	for _, target := range p.Targets {
		if err := p.checkTarget(target); err != nil {
			return err
		}
	}
	for _, f := range p.Flows {
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) checkTarget(target string) error {
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return errors.Annotate(ErrPlan, "target "+strconv.Quote(target)+": allowed is IP:port")
	}
	if !address.Addr().IsLoopback() && !p.AllowRemote {
		return errors.Annotate(ErrPlan, "target "+target+" is on another machine: give -allow-remote if that is meant")
	}
	return nil
}

func (f *Flow) check() error {
	switch {
	case (f.Model == "") == (f.Service == ""):
		return errors.Annotate(ErrPlan, "flow "+f.Name+": one of model and service is needed")
	case f.Weight < 1 || f.PromptBytes < 1 || f.Prefixes < 1:
		return errors.Annotate(ErrPlan, "flow "+f.Name+": weight, prompt_bytes and prefixes are 1 or more")
	case f.Model != "" && f.MaxTokens < 1:
		return errors.Annotate(ErrPlan, "flow "+f.Name+": max_tokens is 1 or more")
	case f.Timeout < 0:
		return errors.Annotate(ErrPlan, "flow "+f.Name+": timeout_ms is 0 or more")
	}
	return nil
}

func outOfRange(name string, low, high int) error {
	return errors.Annotate(ErrPlan, name+": allowed are "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
}
