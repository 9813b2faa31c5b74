package standin

import (
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// loadReport returns loads with a delay of lag.
type loadReport struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load backend.Load
}

// report records the current load and returns the newest recorded load that is at least lag
// old, or nil if there is none yet.
func (r *loadReport) report(now time.Time, load backend.Load) *backend.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, loadSample{at: now, load: load})
	due := -1
	for i, s := range r.samples {
		if now.Sub(s.at) >= r.lag {
			due = i
		}
	}
	if due < 0 {
		return nil
	}
	r.samples = r.samples[due:]
	out := r.samples[0].load
	out.AgeMillis = now.Sub(r.samples[0].at).Milliseconds()
	return &out
}
