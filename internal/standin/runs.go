package standin

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Outcome describes how a run ended.
type Outcome string

// The outcomes. A run without an outcome is still in progress, or its process was killed.
const (
	OutcomeFinished  Outcome = "finished"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCut       Outcome = "cut"
	OutcomeCrashed   Outcome = "crashed"
	OutcomeLost      Outcome = "group lost"
)

// Run is one request that a stand-in started to process.
type Run struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	Attempt     string `json:"attempt"`
	Request     string `json:"request,omitempty"`
	// Work is the prompt of a generation or the hash of a call's body.
	Work     string    `json:"work"`
	Method   string    `json:"method,omitempty"`
	Path     string    `json:"path,omitempty"`
	Group    string    `json:"group,omitempty"`
	Epoch    uint64    `json:"epoch,omitempty"`
	Offset   int       `json:"offset,omitempty"`
	Tokens   int       `json:"tokens,omitempty"`
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished,omitzero"`
	Outcome  Outcome   `json:"outcome,omitempty"`
}

// Arrival is one generation or call that reached a stand-in, whether or not it ran.
type Arrival struct {
	At          time.Time `json:"at"`
	Incarnation string    `json:"incarnation"`
	Attempt     string    `json:"attempt"`
	// RetryAfter is the back-off that the answer, a refusal, asks for; 0 if it asks for none.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// IsLeaving is set if the answer states that the stand-in is leaving.
	IsLeaving bool `json:"is_leaving,omitempty"`
}

// Recorder stores the runs of one or more stand-ins. It survives their simulated crashes, and
// can write each start and end to a file that survives the process.
type Recorder struct {
	mu   sync.Mutex
	runs []Run
	sink io.Writer
}

// NewRecorder returns a recorder that also writes each start and end as a JSON line to sink,
// which may be nil.
func NewRecorder(sink io.Writer) *Recorder { return &Recorder{sink: sink} }

// begin records the start of a run and returns the index of the run.
func (r *Recorder) begin(run Run) int {
	run.Started = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	r.write(run)
	return len(r.runs) - 1
}

func (r *Recorder) end(number, tokens int, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &r.runs[number]
	run.Finished = time.Now()
	run.Tokens = tokens
	run.Outcome = outcome
	r.write(*run)
}

func (r *Recorder) write(run Run) {
	if r.sink == nil {
		return
	}
	_ = json.NewEncoder(r.sink).Encode(run)
}

// Runs returns a copy of all runs, ordered by start.
func (r *Recorder) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}
