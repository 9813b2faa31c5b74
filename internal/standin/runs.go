package standin

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Outcome is how a run ended.
type Outcome string

// The outcomes. A run without outcome is still under way, or its process was
// killed.
const (
	OutcomeFinished  Outcome = "finished"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCut       Outcome = "cut"
	OutcomeCrashed   Outcome = "crashed"
	OutcomeLost      Outcome = "group lost"
)

// Run is one request that a stand-in began to work on.
type Run struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	Attempt     string `json:"attempt"`
	Request     string `json:"request,omitempty"`
	// Work is the prompt of a generation, or the hash of a call's body.
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

// Recorder keeps the runs of one or more stand-ins. It outlives their crashes,
// and it can write each start and finish to a file that outlives the process.
type Recorder struct {
	mu   sync.Mutex
	runs []Run
	sink io.Writer
}

// NewRecorder returns a recorder that also writes each change as a JSON line
// to sink, which may be nil.
func NewRecorder(sink io.Writer) *Recorder { return &Recorder{sink: sink} }

// begin records a start and returns the run's number.
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

// Runs returns a copy of all runs in the order of their starts.
func (r *Recorder) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}
