package blackboard

import (
	"strconv"
	"time"

	"github.com/citronstep/citronstep/internal/failure"
)

// ServiceSpec is what operators declare of a service: a plain one, or a pool
// of engines that models are served from.
type ServiceSpec struct {
	Name string `json:"name" toml:"name"`
	// HealthPath answers 200 on an instance that is in order.
	HealthPath string `json:"health_path,omitempty" toml:"health_path"`
	// MaxConnections is what one instance accepts of all entries together.
	MaxConnections int `json:"max_connections,omitempty" toml:"max_connections"`
	// ColdMillis is how long an instance is cold after it has started, and ColdPerSecond how
	// many requests a second it bears of all entries together meanwhile; 0 is no limit.
	ColdMillis    int64   `json:"cold_ms,omitempty" toml:"cold_ms"`
	ColdPerSecond float64 `json:"cold_per_second,omitempty" toml:"cold_per_second"`
	// Engine holds the figures of an engine pool; nil for a plain service.
	Engine *EngineSpec `json:"engine,omitempty" toml:"engine"`
}

// EngineSpec are the published figures of the engines of one pool. Times are
// of a whole serving group whose pace is 1.
type EngineSpec struct {
	// Slots is how many requests one group runs at once.
	Slots int `json:"slots" toml:"slots"`
	// MemoryTokens is the room for prompts and answers of running requests.
	MemoryTokens int `json:"memory_tokens" toml:"memory_tokens"`
	// TokensPerEvent is how many tokens one event of a stream holds, and so
	// how many steps a group makes in one pass over its running requests.
	TokensPerEvent int `json:"tokens_per_event" toml:"tokens_per_event"`
	// StepMillis is the time of one step, to which each running request adds
	// PerRequestMillis and ContextMillisPerThousand for each thousand tokens.
	StepMillis               float64 `json:"step_ms" toml:"step_ms"`
	PerRequestMillis         float64 `json:"per_request_ms" toml:"per_request_ms"`
	ContextMillisPerThousand float64 `json:"context_ms_per_thousand" toml:"context_ms_per_thousand"`
	// PromptTokensPerSecond is how fast prompts are computed, at most
	// ChunkTokens in one step.
	PromptTokensPerSecond float64 `json:"prompt_tokens_per_second" toml:"prompt_tokens_per_second"`
	ChunkTokens           int     `json:"chunk_tokens" toml:"chunk_tokens"`
	// UsualPrompt and UsualAnswer are mean lengths in tokens.
	UsualPrompt int `json:"usual_prompt" toml:"usual_prompt"`
	UsualAnswer int `json:"usual_answer" toml:"usual_answer"`
	// LoadsPerSecond and LoadsAtOnce are the limits of the weight store, in
	// loads of one VM.
	LoadsPerSecond float64 `json:"loads_per_second" toml:"loads_per_second"`
	LoadsAtOnce    int     `json:"loads_at_once" toml:"loads_at_once"`
	// StagedModels is how many models' weights a VM keeps on its host.
	StagedModels int `json:"staged_models" toml:"staged_models"`
	// Models are served from this pool.
	Models []ModelSpec `json:"models" toml:"models"`
}

// ModelSpec is one model of an engine pool.
type ModelSpec struct {
	Name string `json:"name" toml:"name"`
	// VMs is how many VMs make one serving group.
	VMs int `json:"vms" toml:"vms"`
	// Share is the model's part of the pool's VMs; shares need not add up to 1.
	Share float64 `json:"share" toml:"share"`
	// Pace multiplies all times of the group.
	Pace float64 `json:"pace" toml:"pace"`
	// LoadMillis is the time to load weights from the store, StagedMillis the
	// time to load them from the VM's own host.
	LoadMillis   int64 `json:"load_ms" toml:"load_ms"`
	StagedMillis int64 `json:"staged_ms" toml:"staged_ms"`
}

// UsualTokens is the work of an ordinary request in tokens.
func (e *EngineSpec) UsualTokens() int { return max(1, e.UsualPrompt+e.UsualAnswer) }

// LongestPass returns how long a group of the model may take from one event of
// its streams to the next while nothing is wrong: all slots write, and each
// step of the pass computes a whole chunk of prompts. It is 0 if the figures do
// not say.
func (e *EngineSpec) LongestPass(model string) time.Duration {
	if e.PromptTokensPerSecond <= 0 || e.TokensPerEvent <= 0 {
		return 0
	}
	pace := 1.0
	for _, m := range e.Models {
		if m.Name == model && m.Pace > 0 {
			pace = m.Pace
		}
	}
	step := e.StepMillis + e.PerRequestMillis*float64(e.Slots) + 1000*float64(e.ChunkTokens)/e.PromptTokensPerSecond
	return time.Duration(pace * float64(e.TokensPerEvent) * step * float64(time.Millisecond))
}

// check refuses figures that could not be carried out.
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

// groupSpecs returns the serving groups that a pool's models ask for.
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
