package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// coldMargin is added to the time for which a backend server announces that it stays cold, for
// the transit of its announcement between control processes.
const coldMargin = 500 * time.Millisecond

// updateColdMarks maintains the board's marks of backend servers that are cold (within their
// slow-start period). Only heads of groups and instances of plain services are marked, because
// only they take requests.
//
// Failure: backend servers return cold, and the entries together send each of them the load of
// before; it crashes under that load. The mark is therefore written before the group of a cold
// head serves. It is removed once the backend server has announced after the mark that it is not
// cold: an earlier announcement may predate the cause of the mark.
func updateColdMarks(v View, now time.Time, a *Actions) {
	servers := requestServers(v)
	for _, incarnation := range sortedKeys(v.Board.ColdServers) {
		t, known := servers[incarnation]
		if !known || t.isWarm(v, now, firstSeen(v.Memory.markedSince, incarnation, now)) {
			a.command(&blackboard.MarkCold{Incarnation: incarnation})
			a.decide(Decision{Kind: "cold", Subject: incarnation, Choice: "warm", Reason: "announced as warm since it was marked, or takes no requests"})
		}
	}
	for _, incarnation := range sortedKeys(servers) {
		t := servers[incarnation]
		if _, marked := v.Board.ColdServers[incarnation]; marked || !t.isCold(now) {
			continue
		}
		a.command(&blackboard.MarkCold{Incarnation: incarnation, Service: t.service})
		a.decide(Decision{Kind: "cold", Subject: incarnation, Choice: "cold", Reason: "announces that it stays cold for " + t.report.ColdUntil().Sub(now).String()})
	}
	for incarnation := range v.Memory.markedSince {
		if _, marked := v.Board.ColdServers[incarnation]; !marked {
			delete(v.Memory.markedSince, incarnation)
		}
	}
}

// requestServer is a backend server that takes requests, of a service that states a rate for cold
// instances.
type requestServer struct {
	service   string
	spec      blackboard.ServiceSpec
	report    evidence.Report
	hasReport bool
}

// requestServers returns the backend servers that take requests or are about to, by incarnation.
func requestServers(v View) map[string]requestServer {
	servers := make(map[string]requestServer)
	add := func(service, incarnation string, r evidence.Report, hasReport bool) {
		spec := v.Board.Config.Services[service]
		if spec.ColdPerSecond <= 0 {
			return
		}
		hasReport = hasReport && r.Incarnation == incarnation
		servers[incarnation] = requestServer{service: service, spec: spec, report: r, hasReport: hasReport}
	}
	for _, g := range v.Board.Groups {
		if g.State != blackboard.Forming && g.State != blackboard.Loading && g.State != blackboard.Serving {
			continue
		}
		head := g.Head()
		r, hasReport := v.Evidence.Get(head.VM)
		add(v.Board.Config.Groups[g.Spec].Pool, head.Incarnation, r, hasReport)
	}
	for id, s := range v.Board.Services {
		r, hasReport := v.Evidence.GetService(id)
		add(s.Service, s.Incarnation, r, hasReport)
	}
	return servers
}

// coldUntil returns the end of the slow-start period of the engine on a VM; the zero time if it
// is not cold.
func (v View) coldUntil(now time.Time, vm string) time.Time {
	r, hasReport := v.Evidence.Get(vm)
	if t := (requestServer{report: r, hasReport: hasReport}); t.isCold(now) {
		return r.ColdUntil()
	}
	return time.Time{}
}

// isCold reports whether a backend server is cold by its own announcement.
func (t requestServer) isCold(now time.Time) bool {
	return t.hasReport && t.report.ColdMillis > 0 && now.Before(t.report.ColdUntil().Add(coldMargin))
}

// isWarm reports whether a marked backend server is certainly not cold: it has announced this in
// an announcement that it sent after the mark.
func (t requestServer) isWarm(v View, now, marked time.Time) bool {
	if t.isCold(now) || !t.hasReport {
		return false
	}
	return t.report.ReceivedAt.Sub(marked) >= v.Evidence.Interval()
}
