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

// replaces tells whether the incarnation of a report has taken the place of one
// that the blackboard holds and that started at startedMillis. Where the start is
// told it decides at once; elsewhere the new incarnation must go on announcing.
func replaces(r evidence.Report, startedMillis int64) bool {
	if r.StartedMillis != startedMillis {
		return r.StartedMillis > startedMillis
	}
	return r.Sequence >= r.FirstSequence+settleAnnouncements-1
}

// announcements records VMs and plain services on the blackboard when what
// they announce has changed.
//
// Failure: a new leader first gets what an entry heard long ago, before the
// newer word of another entry, and puts it over a newer row. Only what was
// heard within pausedAfter counts.
func announcements(v View, now time.Time, a *Actions) {
	fresh := v.timing().Paused
	news := v.Evidence.Select(func(r *evidence.Report) bool {
		return r.Known != nil && now.Sub(r.HeardAt) <= fresh && !recorded(v, r)
	})
	for _, r := range news {
		if !fits(v, r) {
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

// recorded tells whether the blackboard holds what a report says already.
func recorded(v View, r *evidence.Report) bool {
	if r.Kind != backend.KindEngine {
		return false
	}
	old, known := v.Board.VMs[r.ID]
	return known && sameVM(old, announced(old, r))
}

// announced returns the row of a VM with what a report says of it.
func announced(row blackboard.VM, r *evidence.Report) blackboard.VM {
	row.ID = r.ID
	row.Incarnation = r.Incarnation
	row.StartedMillis = r.StartedMillis
	row.Address = r.Known.Address
	row.DataCentre = r.Known.DataCentre
	row.Pool = r.Known.Service
	row.FabricDomain = r.Known.FabricDomain
	row.Accelerators = r.Known.Accelerators
	row.Leaving = r.Leaving
	row.Weights = r.Known.Weights
	return row
}

func announceVM(v View, now time.Time, a *Actions, r evidence.Report) {
	old, known := v.Board.VMs[r.ID]
	if known && old.Incarnation != r.Incarnation && !replaces(r, old.StartedMillis) {
		return
	}
	next := announced(old, &r)
	if known && sameVM(old, next) {
		return
	}
	next.SinceMillis = now.UnixMilli()
	if !known {
		next.Liveness = blackboard.Alive
	}
	a.command(&blackboard.PutVM{VM: next})
}

// fits tells whether the configuration has use for a backend server of this kind:
// engines belong to a pool that is configured, or to none, and instances of plain
// services to anything that is not a pool.
//
// Failure: an announcement of an engine by another writer lacks its fabric domain,
// or names a pool that nobody configured. Taken up, the engine would be called like
// a plain service and run requests outside any group. It is left out, and taken
// up once a configuration fits it.
func fits(v View, r evidence.Report) bool {
	spec, configured := v.Board.Config.Services[r.Known.Service]
	pool := configured && spec.Engine != nil
	if r.Kind == backend.KindService {
		return !pool
	}
	return pool || r.Known.Service == ""
}

func sameVM(a, b blackboard.VM) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.Pool == b.Pool && a.FabricDomain == b.FabricDomain &&
		a.Accelerators == b.Accelerators && a.Leaving == b.Leaving &&
		slices.Equal(a.Weights, b.Weights)
}

func announceService(v View, now time.Time, a *Actions, r evidence.Report) {
	old, known := v.Board.Services[r.ID]
	if known && old.Incarnation != r.Incarnation && !replaces(r, old.StartedMillis) {
		return
	}
	next := blackboard.ServiceInstance{
		ID: r.ID, Service: r.Known.Service, Incarnation: r.Incarnation, StartedMillis: r.StartedMillis,
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
