package blackboard

import (
	"strconv"
	"time"

	"github.com/citronstep/citronstep/internal/failure"
)

// ServiceSpec is the operators' declaration of a service: a plain service, or an engine pool
// that serves models.
type ServiceSpec struct {
	Name string `json:"name" toml:"name"`
	// HealthPath answers 200 on a healthy instance.
	HealthPath string `json:"health_path,omitempty" toml:"health_path"`
	// MaxConnections is the number of connections that one instance accepts from all entries
	// together.
	MaxConnections int `json:"max_connections,omitempty" toml:"max_connections"`
	// ColdMillis is the length of the slow-start period of an instance. ColdPerSecond is the
	// number of requests a second that the instance sustains from all entries together during
	// that period; 0 means no limit.
	ColdMillis    int64   `json:"cold_ms,omitempty" toml:"cold_ms"`
	ColdPerSecond float64 `json:"cold_per_second,omitempty" toml:"cold_per_second"`
	// Engine describes the engines of a pool; nil for a plain service.
	Engine *EngineSpec `json:"engine,omitempty" toml:"engine"`
}

// EngineSpec holds the published performance figures of the engines of one pool. Times apply to
// a complete serving group with a Pace of 1.
type EngineSpec struct {
	// Slots is the number of requests that one group runs concurrently.
	Slots int `json:"slots" toml:"slots"`
	// MemoryTokens is the memory capacity for prompts and answers of running requests, in
	// tokens.
	MemoryTokens int `json:"memory_tokens" toml:"memory_tokens"`
	// TokensPerEvent is the number of tokens in one event of a stream. It is also the number of
	// steps that a group makes in one pass over its running requests.
	TokensPerEvent int `json:"tokens_per_event" toml:"tokens_per_event"`
	// StepMillis is the base time of one step. Each running request adds PerRequestMillis, and
	// ContextMillisPerThousand for each thousand tokens.
	StepMillis               float64 `json:"step_ms" toml:"step_ms"`
	PerRequestMillis         float64 `json:"per_request_ms" toml:"per_request_ms"`
	ContextMillisPerThousand float64 `json:"context_ms_per_thousand" toml:"context_ms_per_thousand"`
	// PromptTokensPerSecond is the speed of prompt processing, with at most ChunkTokens in one
	// step.
	PromptTokensPerSecond float64 `json:"prompt_tokens_per_second" toml:"prompt_tokens_per_second"`
	ChunkTokens           int     `json:"chunk_tokens" toml:"chunk_tokens"`
	// ReportLagMillis is the age of the loads that groups report in their answers.
	ReportLagMillis float64 `json:"report_lag_ms,omitempty" toml:"report_lag_ms"`
	// UsualPrompt and UsualAnswer are mean lengths in tokens.
	UsualPrompt int `json:"usual_prompt" toml:"usual_prompt"`
	UsualAnswer int `json:"usual_answer" toml:"usual_answer"`
	// LoadsPerSecond and LoadsAtOnce are the rate and concurrency limits of the weight store.
	// One load is the load of one VM.
	LoadsPerSecond float64 `json:"loads_per_second" toml:"loads_per_second"`
	LoadsAtOnce    int     `json:"loads_at_once" toml:"loads_at_once"`
	// StagedModels is the number of models whose weights a VM keeps on its host.
	StagedModels int `json:"staged_models" toml:"staged_models"`
	// Models are the models that this pool serves.
	Models []ModelSpec `json:"models" toml:"models"`
}

// ModelSpec is one model of an engine pool.
type ModelSpec struct {
	Name string `json:"name" toml:"name"`
	// VMs is the number of VMs in one serving group.
	VMs int `json:"vms" toml:"vms"`
	// Share is the model's fraction of the pool's VMs. Shares need not add up to 1.
	Share float64 `json:"share" toml:"share"`
	// Pace multiplies all times of the group.
	Pace float64 `json:"pace" toml:"pace"`
	// LoadMillis is the time to load weights from the store. StagedMillis is the time to load
	// them from the VM's own host.
	LoadMillis   int64 `json:"load_ms" toml:"load_ms"`
	StagedMillis int64 `json:"staged_ms" toml:"staged_ms"`
}

// UsualTokens returns the mean size of a request in tokens, at least 1.
func (e *EngineSpec) UsualTokens() int { return max(1, e.UsualPrompt+e.UsualAnswer) }

// statesPerformance reports whether the figures suffice to compute what a group carries.
func (e *EngineSpec) statesPerformance() bool {
	return e.Slots > 0 && e.StepMillis > 0 && e.PromptTokensPerSecond > 0 && e.UsualPrompt > 0 && e.UsualAnswer > 0
}

// FollowsDemand reports whether the pool is laid out by observed demand: it divides its VMs
// between several models and states what its engines do.
func (s ServiceSpec) FollowsDemand() bool {
	if s.Engine == nil || !s.Engine.statesPerformance() {
		return false
	}
	models := 0
	for _, m := range s.Engine.Models {
		if m.Share > 0 {
			models++
		}
	}
	return models > 1
}

// FollowsDemand reports whether a model belongs to a pool that is laid out by observed demand.
func (c *Configuration) FollowsDemand(model string) bool {
	spec, known := c.Groups[model]
	return known && spec.Pool != "" && c.Services[spec.Pool].FollowsDemand()
}

// AnyFollowsDemand reports whether any pool is laid out by observed demand.
func (c *Configuration) AnyFollowsDemand() bool {
	for _, s := range c.Services {
		if s.FollowsDemand() {
			return true
		}
	}
	return false
}

// LongestEventGap returns the longest time between two events of a stream in a healthy group of the
// model. It assumes that all slots generate, and that each step also processes a full chunk of
// prompts. It is 0 if the required figures are missing.
func (e *EngineSpec) LongestEventGap(model string) time.Duration {
	if e.PromptTokensPerSecond <= 0 || e.TokensPerEvent <= 0 {
		return 0
	}
	step := e.StepMillis + e.PerRequestMillis*float64(e.Slots) + 1000*float64(e.ChunkTokens)/e.PromptTokensPerSecond
	return time.Duration(e.pace(model) * float64(e.TokensPerEvent) * step * float64(time.Millisecond))
}

// UsualAnswerTime returns how long a group of the model takes for the tokens of a usual answer
// while all slots generate; 0 if the figures are missing.
func (e *EngineSpec) UsualAnswerTime(model string) time.Duration {
	step := e.StepMillis + e.PerRequestMillis*float64(e.Slots)
	return time.Duration(e.pace(model) * float64(e.UsualAnswer) * step * float64(time.Millisecond))
}

// pace returns the factor that multiplies all times of a model's groups.
func (e *EngineSpec) pace(model string) float64 {
	for _, m := range e.Models {
		if m.Name == model && m.Pace > 0 {
			return m.Pace
		}
	}
	return 1
}

// validate returns an error if the spec is invalid.
func (s ServiceSpec) validate() *failure.Error {
	invalid := func(message string) *failure.Error {
		return failure.New(failure.TypeBadRequest, message).WithDetail("services." + s.Name)
	}
	if s.Name == "" {
		return invalid("a service needs a name")
	}
	if s.ColdMillis < 0 || s.ColdPerSecond < 0 {
		return invalid("cold_ms and cold_per_second are 0 or more")
	}
	if s.Engine == nil {
		return nil
	}
	if s.Engine.Slots < 1 {
		return invalid("slots is 1 or more")
	}
	for _, m := range s.Engine.Models {
		if m.Name == "" || m.VMs < 1 || m.Share < 0 {
			return invalid("model " + strconv.Quote(m.Name) + " needs a name, vms of 1 or more and a share of 0 or more")
		}
	}
	return nil
}

// groupSpecs returns a group spec for each model of the pool.
func (s ServiceSpec) groupSpecs() []GroupSpec {
	if s.Engine == nil {
		return nil
	}
	var specs []GroupSpec
	for _, m := range s.Engine.Models {
		specs = append(specs, GroupSpec{
			Name: m.Name, Model: m.Name, Pool: s.Name, VMsPerReplica: m.VMs, Share: m.Share,
		})
	}
	return specs
}
