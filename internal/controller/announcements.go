package controller

import (
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// confirmingAnnouncements is how many announcements of a new incarnation must arrive before the
// blackboard records it.
//
// Failure: one delayed announcement of the previous incarnation makes a VM look restarted, and
// the group that still runs on it look lost. A delayed announcement arrives alone, whereas a live
// process keeps announcing.
const confirmingAnnouncements = 2

// supersedes reports whether the incarnation of a report has replaced the incarnation on the
// blackboard, which started at startedMillis. If the start times differ, the later one wins.
// Otherwise the new incarnation must keep announcing.
func supersedes(r evidence.Report, startedMillis int64) bool {
	if r.StartedMillis != startedMillis {
		return r.StartedMillis > startedMillis
	}
	return r.Sequence >= r.FirstSequence+confirmingAnnouncements-1
}

// recordAnnouncements updates VMs and plain services on the blackboard when their announcements
// have changed.
//
// Failure: a new leader first receives an old announcement from one entry before the newer
// announcement from another entry, and overwrites a newer row with it. Only announcements
// received within Timing.PausedAfter therefore count.
func recordAnnouncements(v View, now time.Time, a *Actions) {
	fresh := v.timing().PausedAfter
	reports := v.Evidence.Select(func(r *evidence.Report) bool {
		return r.LatestDetail != nil && now.Sub(r.ReceivedAt) <= fresh && !isRecorded(v, r)
	})
	for _, r := range reports {
		if !isConfigured(v, r) {
			continue
		}
		switch r.Kind {
		case backend.KindEngine:
			recordVM(v, now, a, r)
		case backend.KindService:
			recordService(v, now, a, r)
		}
	}
}

// isRecorded reports whether the blackboard already holds the contents of a report.
func isRecorded(v View, r *evidence.Report) bool {
	if r.Kind != backend.KindEngine {
		return false
	}
	old, known := v.Board.VMs[r.ID]
	return known && sameVM(old, rowOf(old, r))
}

// rowOf returns the row of a VM updated from a report.
func rowOf(row blackboard.VM, r *evidence.Report) blackboard.VM {
	row.ID = r.ID
	row.Incarnation = r.Incarnation
	row.StartedMillis = r.StartedMillis
	row.Address = r.LatestDetail.Address
	row.DataCentre = r.LatestDetail.DataCentre
	row.Pool = r.LatestDetail.Service
	row.FabricDomain = r.LatestDetail.FabricDomain
	row.Accelerators = r.LatestDetail.Accelerators
	row.Leaving = r.Leaving
	row.Weights = r.LatestDetail.Weights
	return row
}

func recordVM(v View, now time.Time, a *Actions, r evidence.Report) {
	old, known := v.Board.VMs[r.ID]
	if known && old.Incarnation != r.Incarnation && !supersedes(r, old.StartedMillis) {
		return
	}
	next := rowOf(old, &r)
	if known && sameVM(old, next) {
		return
	}
	next.SinceMillis = now.UnixMilli()
	if !known {
		next.Liveness = blackboard.Alive
	}
	a.command(&blackboard.PutVM{VM: next})
}

// isConfigured reports whether the configuration has a use for a backend server of this kind. An
// engine must belong to a configured pool or to none. An instance of a plain service must not
// belong to a pool.
//
// Failure: another implementation announces an engine without its fabric domain, or with a pool
// that nobody configured. If the blackboard recorded it, entries would call the engine like a
// plain service and run requests outside any group. Such a backend server is left out until a
// configuration fits it.
func isConfigured(v View, r evidence.Report) bool {
	spec, configured := v.Board.Config.Services[r.LatestDetail.Service]
	pool := configured && spec.Engine != nil
	if r.Kind == backend.KindService {
		return !pool
	}
	return pool || r.LatestDetail.Service == ""
}

func sameVM(a, b blackboard.VM) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.Pool == b.Pool && a.FabricDomain == b.FabricDomain &&
		a.Accelerators == b.Accelerators && a.Leaving == b.Leaving &&
		slices.Equal(a.Weights, b.Weights)
}

func recordService(v View, now time.Time, a *Actions, r evidence.Report) {
	old, known := v.Board.Services[r.ID]
	if known && old.Incarnation != r.Incarnation && !supersedes(r, old.StartedMillis) {
		return
	}
	next := blackboard.ServiceInstance{
		ID: r.ID, Service: r.LatestDetail.Service, Incarnation: r.Incarnation, StartedMillis: r.StartedMillis,
		Address: r.LatestDetail.Address, DataCentre: r.LatestDetail.DataCentre,
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
