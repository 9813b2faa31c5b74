package entry

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement"
)

// evacuations holds since when this entry has known of each evacuated data centre, by its
// own clock.
type evacuations map[string]time.Time

// evacuationGrace is the part of the time that an evacuation may take in which this entry
// still sends to the data centre what no other serves: the rest is for entries that
// learn of it late.
const evacuationGrace = 0.4

// follow takes in the evacuations of a board.
func (e evacuations) update(now time.Time, b *blackboard.Board) (began, ended []string) {
	for dataCentre := range e {
		if !b.Evacuated(dataCentre) {
			delete(e, dataCentre)
			ended = append(ended, dataCentre)
		}
	}
	for dataCentre := range b.Evacuations {
		if _, known := e[dataCentre]; !known {
			e[dataCentre] = now
			began = append(began, dataCentre)
		}
	}
	return began, ended
}

// latest is when this entry learned of the last evacuation.
func (e evacuations) latest() time.Time {
	var latest time.Time
	for _, since := range e {
		if since.After(latest) {
			latest = since
		}
	}
	return latest
}

// followEvacuations takes in the evacuations of a board and logs what changes.
func (s *Server) updateEvacuations(now time.Time, b *blackboard.Board) {
	began, ended := s.evacuations.update(now, b)
	for _, dataCentre := range began {
		_ = level.Info(s.o.Logger).Log("event", "evacuation", "data_centre", dataCentre, "revision", b.Evacuations[dataCentre].Revision)
	}
	for _, dataCentre := range ended {
		_ = level.Info(s.o.Logger).Log("event", "evacuation_ended", "data_centre", dataCentre, "revision", b.Revision)
	}
}

// evacuate closes the targets in data centres that are evacuated.
//
// A model or a service that has targets there alone keeps them for a moment, in which the
// leader forms groups elsewhere: its callers would be refused until then. The pools that have
// no target left are returned.
func (r *routeUpdate) evacuate(now time.Time, e evacuations, limit time.Duration) (emptied map[string]bool) {
	if len(r.evacuated) == 0 {
		return nil
	}
	emptied = make(map[string]bool)
	open := now.Sub(e.latest()) < time.Duration(evacuationGrace*float64(limit))
	served := make(map[string]bool)
	for _, t := range r.targets {
		if !r.evacuated[t.ID] {
			served[t.Model] = true
		}
	}
	kept := make([]placement.Target, 0, len(r.targets))
	for _, t := range r.targets {
		switch {
		case !r.evacuated[t.ID]:
		case open && !served[t.Model]:
			r.changesWithTime = true
		default:
			delete(r.routes, t.ID)
			emptied[t.Model] = !served[t.Model]
			r.closed[t.ID] = "its data centre is evacuated"
			continue
		}
		kept = append(kept, t)
	}
	r.targets = kept
	return emptied
}
