package admission

import "time"

// Counters count decisions since the Queue was made.
type Counters struct {
	Queued        uint64
	Joined        uint64
	Refused       uint64
	Evicted       uint64
	Started       uint64
	Cancelled     uint64
	RetriesDenied uint64
}

// BandStats describes the waiting requests of one model and worth.
type BandStats struct {
	Worth    float64
	Requests int
	Tokens   int
	// Oldest is when the request that waits longest arrived.
	Oldest time.Time
}

// ModelStats describes the waiting requests of one model.
type ModelStats struct {
	Model string
	// TokensPerSecond is the service rate that refusals are based on; 0 if it
	// isn't known.
	TokensPerSecond float64
	Bands           []BandStats
}

// Stats is a copy of the queue's state for metrics and status pages.
type Stats struct {
	Counters
	Waiting int
	Running int
	Models  []ModelStats
}

// Stats returns the queue's state. It walks all flows, so it is meant for a
// metrics interval and not for each request.
func (q *Queue) Stats() Stats {
	s := Stats{Counters: q.counters, Waiting: q.waiting, Running: len(q.running)}
	for _, m := range q.order {
		s.Models = append(s.Models, m.stats())
	}
	return s
}

func (m *modelQueue) stats() ModelStats {
	s := ModelStats{Model: m.name, TokensPerSecond: m.serviceRate.perSecond}
	for _, b := range m.bands {
		s.Bands = append(s.Bands, b.stats())
	}
	return s
}

func (b *band) stats() BandStats {
	s := BandStats{Worth: b.worth, Tokens: b.tokens}
	for _, f := range b.active {
		s.Requests += f.count
		first := f.first.request.Arrived
		if s.Oldest.IsZero() || first.Before(s.Oldest) {
			s.Oldest = first
		}
	}
	return s
}
