package entry

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/placement"
)

// evacuations maps each evacuated data centre to the time at which this entry closes its targets.
type evacuations map[string]clock.Boot

// evacuationGrace is the fraction of an evacuation's time limit after which an entry closes the
// targets in the data centre. The rest is left for requests on their way to a backend server: a
// new connection may take a second.
const evacuationGrace = 0.7

// update applies the evacuations of a board and returns the data centres whose evacuation has
// begun or ended. start returns the earliest time at which an evacuation can have been ordered;
// targets of a data centre without a known start close at once.
func (e evacuations) update(b *blackboard.Board, limit time.Duration, start func(dataCentre string) clock.Boot) (began, ended []string) {
	for dataCentre := range e {
		if !b.Evacuated(dataCentre) {
			delete(e, dataCentre)
			ended = append(ended, dataCentre)
		}
	}
	for dataCentre := range b.Evacuations {
		_, known := e[dataCentre]
		if !known {
			began = append(began, dataCentre)
		}
		e[dataCentre] = closingTime(start(dataCentre), limit)
	}
	return began, ended
}

func closingTime(start clock.Boot, limit time.Duration) clock.Boot {
	if start == 0 {
		return 0
	}
	return start.Add(time.Duration(evacuationGrace * float64(limit)))
}

// updateEvacuations applies the evacuations of a board and logs the changes.
func (s *Server) updateEvacuations(b *blackboard.Board) {
	limit := time.Duration(s.o.Settings.EvacuateMillis) * time.Millisecond
	began, ended := s.evacuations.update(b, limit, s.o.Follower.EvacuationStart)
	for _, dataCentre := range began {
		_ = level.Info(s.o.Logger).Log("event", "evacuation", "data_centre", dataCentre,
			"revision", b.Evacuations[dataCentre].Revision, "closes_in_ms", max(0, s.evacuations[dataCentre].Sub(clock.Now())).Milliseconds())
	}
	for _, dataCentre := range ended {
		_ = level.Info(s.o.Logger).Log("event", "evacuation_ended", "data_centre", dataCentre, "revision", b.Revision)
	}
}

// evacuate closes the targets in evacuated data centres whose closing time has come, and returns
// the pools that have no target left.
//
// Load: a data centre with a third of the backend servers is evacuated under ordinary load. Closed
// at once, its requests would be late or refused at the groups of the others, while the leader
// forms further groups there within seconds. Until its closing time the data centre serves as
// before.
func (r *routeUpdate) evacuate(now clock.Boot) (emptied map[string]bool) {
	if len(r.evacuated) == 0 {
		return nil
	}
	emptied = make(map[string]bool)
	served := make(map[string]bool)
	kept := make([]placement.Target, 0, len(r.targets))
	for _, t := range r.targets {
		closesAt, evacuated := r.evacuated[t.ID]
		if evacuated && now >= closesAt {
			delete(r.routes, t.ID)
			r.closed[t.ID] = "data centre is evacuated"
			emptied[t.Model] = true
			continue
		}
		if evacuated {
			open := r.routes[t.ID]
			open.closesAt = closesAt
			r.routes[t.ID] = open
			if r.nextClose == 0 || closesAt < r.nextClose {
				r.nextClose = closesAt
			}
		}
		served[t.Model] = true
		kept = append(kept, t)
	}
	for model := range served {
		delete(emptied, model)
	}
	r.targets = kept
	return emptied
}

// noteEvacuated records that a target lies in evacuated data centres and closes with the first of
// them. It does nothing if none of the data centres is evacuated.
func (r *routeUpdate) noteEvacuated(target string, e evacuations, dataCentres ...string) {
	for _, dataCentre := range dataCentres {
		closesAt, evacuated := e[dataCentre]
		if !evacuated {
			continue
		}
		if earlier, noted := r.evacuated[target]; !noted || closesAt < earlier {
			r.evacuated[target] = closesAt
		}
	}
}
