package controller

import (
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// settleAnnouncements is how many announcements of a new incarnation must be
// heard before the blackboard takes it up.
//
// Failure: one late copy from the incarnation before makes a VM look
// restarted, and the group that still runs on it looks gone. A late copy comes
// alone; a live process goes on announcing.
const settleAnnouncements = 2

// settled tells whether a report's incarnation goes on announcing.
func settled(r evidence.Report) bool {
	return r.Sequence >= r.FirstSequence+settleAnnouncements-1
}

// announcements records VMs and plain services on the blackboard when what
// they announce has changed.
//
// Failure: a new leader first gets what an entry heard long ago, before the
// newer word of another entry, and puts it over a newer row. Only what was
// heard within pausedAfter counts.
func announcements(v View, now time.Time, a *Actions) {
	for _, r := range v.Evidence.Reports() {
		if r.Known == nil || now.Sub(r.HeardAt) > v.timing().Paused {
			continue
		}
		switch r.Kind {
		case backend.KindEngine:
			announceVM(v, now, a, r)
		case backend.KindService:
			announceService(v, now, a, r)
		}
	}
}

func announceVM(v View, now time.Time, a *Actions, r evidence.Report) {
	old, known := v.Board.VMs[r.ID]
	if known && old.Incarnation != r.Incarnation && !settled(r) {
		return
	}
	next := old
	next.ID = r.ID
	next.Incarnation = r.Incarnation
	next.Address = r.Known.Address
	next.DataCentre = r.Known.DataCentre
	next.Pool = r.Known.Service
	next.FabricDomain = r.Known.FabricDomain
	next.Accelerators = r.Known.Accelerators
	next.Leaving = r.Leaving
	next.Weights = r.Known.Weights
	if known && sameVM(old, next) {
		return
	}
	next.SinceMillis = now.UnixMilli()
	if !known {
		next.Liveness = blackboard.Alive
	}
	a.command(&blackboard.PutVM{VM: next})
}

func sameVM(a, b blackboard.VM) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.Pool == b.Pool && a.FabricDomain == b.FabricDomain &&
		a.Accelerators == b.Accelerators && a.Leaving == b.Leaving &&
		slices.Equal(a.Weights, b.Weights)
}

func announceService(v View, now time.Time, a *Actions, r evidence.Report) {
	old, known := v.Board.Services[r.ID]
	if known && old.Incarnation != r.Incarnation && !settled(r) {
		return
	}
	next := blackboard.ServiceInstance{
		ID: r.ID, Service: r.Known.Service, Incarnation: r.Incarnation,
		Address: r.Known.Address, DataCentre: r.Known.DataCentre,
		Liveness: old.Liveness, Leaving: r.Leaving,
	}
	if !known || old.Incarnation != r.Incarnation {
		next.Liveness = blackboard.Alive
	}
	if known && next == old {
		return
	}
	a.command(&blackboard.PutService{Instance: next})
}
