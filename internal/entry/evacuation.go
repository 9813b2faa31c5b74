package entry

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement"
)

// evacuations maps each evacuated data centre to the time at which this entry learned of its
// evacuation, by the entry's own clock.
type evacuations map[string]time.Time

// evacuationGrace is the fraction of an evacuation's time limit during which this entry still
// sends requests to the data centre if no other one serves them. The rest is left for entries
// that learn of the evacuation late.
const evacuationGrace = 0.4

// update applies the evacuations of a board and returns the data centres whose evacuation has
// begun or ended.
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

// latest returns when this entry learned of the most recent evacuation.
func (e evacuations) latest() time.Time {
	var latest time.Time
	for _, since := range e {
		if since.After(latest) {
			latest = since
		}
	}
	return latest
}

// updateEvacuations applies the evacuations of a board and logs the changes.
func (s *Server) updateEvacuations(now time.Time, b *blackboard.Board) {
	began, ended := s.evacuations.update(now, b)
	for _, dataCentre := range began {
		_ = level.Info(s.o.Logger).Log("event", "evacuation", "data_centre", dataCentre, "revision", b.Evacuations[dataCentre].Revision)
	}
	for _, dataCentre := range ended {
		_ = level.Info(s.o.Logger).Log("event", "evacuation_ended", "data_centre", dataCentre, "revision", b.Revision)
	}
}

// evacuate closes the targets in evacuated data centres and returns the pools that have no
// target left.
//
// A model or service whose targets are all in evacuated data centres keeps them for a grace
// period, in which the leader forms groups elsewhere. Without it, callers would be refused
// until then.
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
			r.closed[t.ID] = "data centre is evacuated"
			continue
		}
		kept = append(kept, t)
	}
	r.targets = kept
	return emptied
}
