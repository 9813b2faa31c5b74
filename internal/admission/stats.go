package admission

import "time"

// Counters counts decisions since the Queue was created.
type Counters struct {
	Queued        uint64
	Joined        uint64
	Refused       uint64
	Evicted       uint64
	Started       uint64
	Cancelled     uint64
	RetriesDenied uint64
}

// BandStats describes the waiting requests of one model that have equal worth.
type BandStats struct {
	Worth    float64
	Requests int
	Tokens   int
	// Oldest is the arrival time of the request that has waited longest.
	Oldest time.Time
}

// ModelStats describes the waiting requests of one model.
type ModelStats struct {
	Model string
	// TokensPerSecond is the service rate on which refusals are based; 0 if unknown.
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

// Stats returns the queue's state. It visits all flows, so it is meant to be called once per
// metrics interval, not for each request.
func (q *Queue) Stats() Stats {
	s := Stats{Counters: q.counters, Waiting: q.waiting, Running: len(q.running)}
	for _, m := range q.modelList {
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
