// Package loadgen implements `citronstep load`: it generates load on a running system and
// checks every answer.
//
// The load is bounded by a number of requests and by a duration. It is generated from a seed,
// so two runs of one plan send the same requests except for their idempotency keys.
package loadgen

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// The headers of the callers' API that loadgen sets.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerClass          = "Citronstep-Class"
	headerNonIdempotent  = "Citronstep-Non-Idempotent"
	headerTimeout        = "Citronstep-Timeout-Ms"
)

// Limits of a plan. They prevent a typing error from causing an outage. One process of the tool
// can't generate that much load, so they don't restrict reasonable plans.
const (
	MaxCount       = 1_000_000
	MaxDuration    = time.Hour
	MaxRate        = 10_000
	MaxConcurrency = 4096
	MaxRetries     = 1000
)

// Flow describes one kind of request of one workspace.
type Flow struct {
	// Name labels the flow in the report.
	Name string
	// Key is the secret key of the workspace.
	Key   string
	Class string
	// Model is the model of a completion. Service and Path are set instead of Model for calls
	// of a plain service.
	Model   string
	Service string
	Path    string
	// Weight is the flow's share of all requests, relative to the other flows.
	Weight int
	// PromptBytes and MaxTokens are mean values. The value of each request is uniformly
	// distributed between 0.5 and 1.5 times the mean.
	PromptBytes int
	MaxTokens   int
	// Prefixes is the number of different prompt beginnings of the flow.
	Prefixes      int
	Stream        bool
	NonIdempotent bool
	// Timeout is the deadline sent with each request; 0 sends none.
	Timeout time.Duration
}

// Plan describes the load to generate.
type Plan struct {
	// Targets are the entries' addresses, as IP:port, used in turn.
	Targets []string
	Flows   []Flow
	// Rate is the mean number of arrivals per second of an open loop, whose requests do not
	// wait for each other; 0 means a closed loop.
	Rate float64
	// Concurrency is the number of callers of a closed loop, or the limit on open requests of
	// an open loop.
	Concurrency int
	// Count and Duration limit the sending; the limit reached first ends it.
	Count    int
	Duration time.Duration
	// Retries bounds the retries of one request. Each retry has the idempotency key of the
	// first attempt and waits at least for the received Retry-After.
	Retries int
	Seed    uint64
	// RunID makes the idempotency keys of this run differ from those of earlier runs with the
	// same seed, whose answers the system may still store.
	RunID string
	// GiveUp bounds the wait for one answer, retries included.
	GiveUp time.Duration
	// AllowRemote permits targets that are not on the loopback interface.
	AllowRemote bool
	// Expected returns the expected text of a completion by stand-in engines. If it is nil,
	// only the form of the answers is checked.
	Expected func(prompt string, maxTokens int) string
}

// ErrPlan is the cause of every error about an invalid plan.
const ErrPlan = errors.ConstError("invalid load plan")

// Check returns an error for a plan that can't be run or that could cause damage.
func (p *Plan) Check() error {
	switch {
	case len(p.Targets) == 0:
		return errors.Annotate(ErrPlan, "no target")
	case len(p.Flows) == 0:
		return errors.Annotate(ErrPlan, "no flow")
	case p.Count < 1 || p.Count > MaxCount:
		return outOfRange("count", 1, MaxCount)
	case p.Duration <= 0 || p.Duration > MaxDuration:
		return errors.Annotate(ErrPlan, "duration: must be over 0 and at most "+MaxDuration.String())
	case p.Rate < 0 || p.Rate > MaxRate:
		return outOfRange("rate", 0, MaxRate)
	case p.Concurrency < 1 || p.Concurrency > MaxConcurrency:
		return outOfRange("concurrency", 1, MaxConcurrency)
	case p.Retries < 0 || p.Retries > MaxRetries:
		return outOfRange("retries", 0, MaxRetries)
	case p.GiveUp <= 0:
		return errors.Annotate(ErrPlan, "give-up time: must be over 0")
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
		return errors.Annotate(ErrPlan, "target "+strconv.Quote(target)+": must be IP:port")
	}
	if !address.Addr().IsLoopback() && !p.AllowRemote {
		return errors.Annotate(ErrPlan, "target "+target+" is on another machine: give -allow-remote to permit it")
	}
	return nil
}

func (f *Flow) check() error {
	switch {
	case (f.Model == "") == (f.Service == ""):
		return errors.Annotate(ErrPlan, "flow "+f.Name+": give either a model or a service")
	case f.Weight < 1 || f.PromptBytes < 1 || f.Prefixes < 1:
		return errors.Annotate(ErrPlan, "flow "+f.Name+": weight, prompt_bytes and prefixes must be 1 or more")
	case f.Model != "" && f.MaxTokens < 1:
		return errors.Annotate(ErrPlan, "flow "+f.Name+": max_tokens must be 1 or more")
	case f.Timeout < 0:
		return errors.Annotate(ErrPlan, "flow "+f.Name+": timeout_ms must be 0 or more")
	}
	return nil
}

func outOfRange(name string, low, high int) error {
	return errors.Annotate(ErrPlan, name+": must be from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
}
