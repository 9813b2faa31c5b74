package follow

import (
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
)

// evacuationStart is the earliest time at which an evacuation can have been ordered.
type evacuationStart struct {
	revision uint64
	earliest clock.Boot
}

// evacuationStarts maps each evacuated data centre to the start of its evacuation.
type evacuationStarts map[string]evacuationStart

// update records the evacuations that next has and the board before it has not. confirmedAt is
// the latest time at which the leader confirmed the board before; 0 if it never did.
//
// An order that the leader's board lacked at confirmedAt was acknowledged later. An entry that
// restarted, or that was out of contact, therefore takes an order for older than it is, and never
// for newer.
func (e evacuationStarts) update(next *blackboard.Board, confirmedAt clock.Boot) {
	for dataCentre := range e {
		if !next.Evacuated(dataCentre) {
			delete(e, dataCentre)
		}
	}
	for dataCentre, order := range next.Evacuations {
		if start, known := e[dataCentre]; known && start.revision == order.Revision {
			continue
		}
		e[dataCentre] = evacuationStart{revision: order.Revision, earliest: confirmedAt}
	}
}

// EvacuationStart returns the earliest time at which the evacuation of a data centre can have
// been ordered. It returns 0 if that is not known.
func (f *Follower) EvacuationStart(dataCentre string) clock.Boot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations[dataCentre].earliest
}
