package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/placement"
)

// routeInterval is how often the routes are checked against the evidence. Evidence expires with
// time alone, so updating on changes of the board is not enough.
const routeInterval = 100 * time.Millisecond

func servesModel(groups map[string]blackboard.GroupSpec, model string) bool {
	for _, g := range groups {
		if g.Model == model {
			return true
		}
	}
	return false
}

func servesService(instances map[string]blackboard.ServiceInstance, name string) bool {
	for _, i := range instances {
		if i.Service == name {
			return true
		}
	}
	return false
}

// keepRoutes updates the routes until the context ends.
func (s *Server) keepRoutes(ctx context.Context) {
	ticker := time.NewTicker(routeInterval)
	defer ticker.Stop()
	dispatchTicker := time.NewTicker(dispatchInterval)
	defer dispatchTicker.Stop()
	for {
		select {
		case <-ticker.C:
			if !s.areRoutesCurrent() {
				s.updateRoutes()
			}
			s.reportWaits(ctx, time.Now())
		case <-s.updateNow:
			s.noteServing(time.Now())
			s.updateRoutes()
		case <-dispatchTicker.C:
			now := time.Now()
			s.noteServing(now)
			s.checkProgress(now)
			s.reportCallers(ctx, now)
			s.reportRateLimits(ctx, now)
			s.reportDemand(now)
			s.dispatcher.tick(now)
			s.tickCoordinators(now)
			s.flushGrants(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// routeUpdate collects the routable targets of one evaluation of the board and the evidence.
type routeUpdate struct {
	now     time.Time
	board   *blackboard.Board
	routes  map[string]route
	targets []placement.Target
	loads   map[string]placement.Load
	closed  map[string]string
	// quarantinedPools holds the pools with a target in quarantine.
	quarantinedPools map[string]bool
	// usesBoardLiveness is set if this process receives no announcements and relies on the
	// leader's conclusions on the board.
	usesBoardLiveness bool
	// progress is this entry's own view of the groups.
	progress progressByEpoch
	// changesWithTime is set if the routes will change without an event, because a group is
	// suspended by this entry's own view. nextClose is when the first evacuated target closes; 0
	// for none.
	changesWithTime bool
	nextClose       clock.Boot
	// evacuations holds when the targets of each evacuated data centre close, evacuated when each
	// of these targets does.
	evacuations evacuations
	evacuated   map[string]clock.Boot
	// leaving holds the backend servers that state in their answers that they are leaving.
	leaving *leavingServers
	// crashes knows the targets that have crashed.
	crashes *crashChecks
	// regions holds the region of each data centre.
	regions map[string]string
}

// closeIfCrashed closes a target whose process is known to be gone, and reports whether it is.
//
// Failure: the leader takes seconds to see that a head has crashed. Until then requests are sent
// there, are refused by its host, and use up their attempts.
func (r *routeUpdate) closeIfCrashed(rt route) bool {
	if !r.crashes.hasCrashed(r.now, rt.crashID()) {
		return false
	}
	r.changesWithTime = true
	r.closed[rt.target] = "the backend server has crashed"
	return true
}

// routable reports whether a group may receive new work, and if not, why.
func (r *routeUpdate) routable(t *evidence.Table, id string) (bool, string) {
	if !r.usesBoardLiveness {
		return t.Routable(r.now, r.board, id)
	}
	g := r.board.Groups[id]
	if !g.State.Routable() {
		return false, "group is " + string(g.State)
	}
	for _, m := range g.Members {
		if r.board.VMs[m.VM].Leaving {
			return false, "member " + m.VM + " is leaving"
		}
	}
	return true, ""
}

// areRoutesCurrent reports whether an update of the routes would change nothing: this process
// receives no announcements, the board is the same, and nothing on the board or here expires
// with time alone.
//
// In a pool of a hundred groups and an entry with a few requests a second, updating all routes
// ten times a second is half of the entry's work (BenchmarkUpdateRoutes).
func (s *Server) areRoutesCurrent() bool {
	board := s.o.Follower.Board()
	changes := s.routesChangeWithTime || len(board.Quarantines) > 0 || (s.routesCloseAt != 0 && clock.Now() >= s.routesCloseAt)
	return s.o.Settings.Deaf && board == s.routesBoard && !changes
}

func (s *Server) updateRoutes() {
	r := &routeUpdate{
		now: time.Now(), board: s.o.Follower.Board(),
		routes: make(map[string]route), loads: make(map[string]placement.Load), closed: make(map[string]string),
		quarantinedPools: make(map[string]bool), usesBoardLiveness: s.o.Settings.Deaf, progress: s.progress, evacuated: make(map[string]clock.Boot),
		regions: s.o.Regions, leaving: s.leavingServers, evacuations: s.evacuations, crashes: s.crashChecks,
	}
	lost := s.progress.removeLost(r.board)
	s.updateEvacuations(r.board)
	s.o.Announcements.WithTable(func(t *evidence.Table) {
		for id := range r.board.Groups {
			r.addGroup(t, id)
		}
		for id := range r.board.Services {
			r.addService(t, id)
		}
	})
	emptied := r.evacuate(clock.Now())
	s.routesBoard, s.routesChangeWithTime, s.routesCloseAt = r.board, r.changesWithTime, r.nextClose
	s.logRouteChanges(r)
	s.dispatcher.setEntries(callerFacingEntries(r.board))
	s.updateRateLimits(r.board)
	s.updateColdLimits(r.board)
	s.dispatcher.setFigures(engineFigures(&r.board.Config))
	s.dispatcher.setEvacuated(emptied)
	s.dispatcher.setRoutes(r.now, r.routes, r.targets, r.quarantinedPools)
	// Only now, or the attempts that end here would be made again on other groups that are lost as well.
	s.retireGroups(lost)
	s.endAttemptsOnRestarted(r.board)
	for id, l := range r.loads {
		s.dispatcher.report(r.now, id, l)
	}
}

func (r *routeUpdate) addGroup(t *evidence.Table, id string) {
	g := r.board.Groups[id]
	isLeaving := r.isHeadLeaving(t, g)
	if ok, reason := r.routable(t, id); !ok {
		r.closed[id] = reason
		return
	}
	if isLeaving {
		r.closed[id] = "the head is leaving"
		return
	}
	if r.closeIfCrashed(route{target: id, group: g.ID, epoch: g.Epoch}) || r.closeIfQuarantined(g.Model, id) {
		return
	}
	progress := r.progress.getOrAdd(groupEpoch{g.ID, g.Epoch}, silenceLimitFor(&r.board.Config, g.Model))
	if progress.isSuspended(r.now) {
		r.changesWithTime = true
		r.closed[id] = "the group's streams make no progress"
		return
	}
	head := g.Members[0]
	report, _ := t.Get(head.VM)
	capacity := r.capacity(g.Model)
	if report.Load != nil {
		capacity = report.Load.Capacity
		r.loads[id] = reportedLoad(report)
	}
	r.routes[id] = route{
		target:       id,
		pool:         g.Model,
		dataCentre:   g.DataCentre,
		region:       r.regions[g.DataCentre],
		requestCount: r.requestCount(id),
		address:      head.Address,
		group:        g.ID,
		epoch:        g.Epoch,
		head:         head.VM,
		incarnation:  head.Incarnation,
		progress:     progress,
		members:      make(map[string]string, len(g.Members)),
	}
	for _, m := range g.Members {
		r.routes[id].members[m.VM] = m.Incarnation
	}
	r.noteEvacuated(id, r.evacuations, append([]string{g.DataCentre}, g.OtherDataCentres...)...)
	r.targets = append(r.targets, placement.Target{
		ID: id, Server: head.Incarnation, DataCentre: g.DataCentre, Region: r.regions[g.DataCentre], FabricDomain: g.FabricDomain, Model: g.Model,
		Capacity: capacity,
	})
}

// isHeadLeaving reports whether the head of a group says that it is leaving, in its announcements
// or in its answers.
func (r *routeUpdate) isHeadLeaving(t *evidence.Table, g blackboard.Group) bool {
	if len(g.Members) == 0 {
		return false
	}
	head := g.Members[0]
	report, _ := t.Get(head.VM)
	if report.Incarnation != head.Incarnation {
		report = evidence.Report{}
	}
	return r.leaving.update(r.now, head.Incarnation, report.Leaving || r.board.VMs[head.VM].Leaving, report.ReceivedAt)
}

// capacity returns the work that a group of the model sustains by the published figures of its
// engines, in tokens; 0 if there are none.
func (r *routeUpdate) capacity(model string) int {
	e := r.board.Config.Services[r.board.Config.Groups[model].Pool].Engine
	if e == nil {
		return 0
	}
	return e.Slots * e.UsualTokens()
}

// requestCount returns how many requests a target reports, running and queued.
func (r *routeUpdate) requestCount(id string) int { return r.loads[id].Running + r.loads[id].Queued }

// closeIfQuarantined closes a target that is in quarantine for a suspect request, and reports
// whether it is.
func (r *routeUpdate) closeIfQuarantined(pool, target string) bool {
	q, ok := r.board.Quarantines[pool]
	if !ok || q.Target != target || !q.IsInForce(r.now.UnixMilli()) {
		return false
	}
	r.closed[target] = "in quarantine for a suspect request of entry " + q.Entry
	r.quarantinedPools[pool] = true
	return true
}

func (r *routeUpdate) addService(t *evidence.Table, id string) {
	i := r.board.Services[id]
	report, ok := t.GetService(id)
	if report.Incarnation != i.Incarnation {
		report, ok = evidence.Report{}, false
	}
	switch {
	case r.leaving.update(r.now, i.Incarnation, report.Leaving || i.Leaving, report.ReceivedAt):
		r.closed[id] = "instance is leaving"
		return
	case r.usesBoardLiveness && i.Liveness == blackboard.Dead:
		r.closed[id] = "instance is dead"
		return
	case r.usesBoardLiveness:
	case !ok || r.now.Sub(report.ReceivedAt) > evidence.RoutableAge:
		r.closed[id] = "instance has no fresh evidence"
		return
	}
	if r.closeIfCrashed(route{target: id, head: id, incarnation: i.Incarnation}) || r.closeIfQuarantined(servicePool(i.Service), id) {
		return
	}
	if report.Load != nil {
		r.loads[id] = reportedLoad(report)
	}
	r.routes[id] = route{
		target:       id,
		pool:         servicePool(i.Service),
		dataCentre:   i.DataCentre,
		region:       r.regions[i.DataCentre],
		requestCount: r.requestCount(id),
		address:      i.Address,
		head:         id,
		incarnation:  i.Incarnation,
		members:      map[string]string{id: i.Incarnation},
	}
	r.noteEvacuated(id, r.evacuations, i.DataCentre)
	r.targets = append(r.targets, placement.Target{
		ID: id, Server: i.Incarnation, DataCentre: i.DataCentre, Region: r.regions[i.DataCentre], Model: servicePool(i.Service), Plain: true,
	})
}

func reportedLoad(r evidence.Report) placement.Load {
	return placement.Load{
		Running: r.Load.Running, Queued: r.Load.Queued, TokensInFlight: r.Load.TokensInFlight,
		TokensPerSecond: r.Load.TokensPerSecond,
		At:              r.ReceivedAt.Add(-time.Duration(r.Load.AgeMillis) * time.Millisecond),
	}
}

// logRouteChanges logs each target that became routable or ceased to be.
func (s *Server) logRouteChanges(r *routeUpdate) {
	for id := range r.routes {
		if _, open := s.loggedRoutes[id]; !open {
			_ = level.Info(s.o.Logger).Log("event", "target_routable", "target", id, "epoch", r.routes[id].epoch)
		}
	}
	for id := range s.loggedRoutes {
		if _, open := r.routes[id]; !open {
			_ = level.Info(s.o.Logger).Log("event", "target_closed", "target", id, "reason", r.closed[id])
		}
	}
	s.loggedRoutes = r.routes
}

// cacheEvents passes an engine's cache hints to placement. This entry receives only the
// announcements sent to it, so the hints are partial by design. They change which group is
// preferred and never which may be used.
func (s *Server) cacheEvents(a backend.Announcement) {
	if a.Group == "" || len(a.Cache) == 0 {
		return
	}
	s.dispatcher.cacheEvents(time.Now(), a.Group, a.Cache)
}

func (d *dispatcher) cacheEvents(now time.Time, target string, events []backend.CacheEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		d.picker.CacheEvent(now, target, e.Sequence, e.Added, e.Removed)
	}
}
