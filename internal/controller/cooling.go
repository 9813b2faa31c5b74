package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// coldMargin is added to the time that a backend server says it stays cold, for the way of
// its announcement between control processes.
const coldMargin = 500 * time.Millisecond

// marking keeps the board's marks of cold backend servers: of heads of groups and of
// instances of plain services, as these alone take requests.
//
// Failure: backend servers return cold, and the entries together send each of them what they
// sent before; it crashes under it. The mark is written before the group that a cold head
// serves in, and taken off once the backend server has said, after the mark came, that it is
// not cold: what it said before may be older than the cause of the mark.
func marking(v View, now time.Time, a *Actions) {
	takes := takers(v)
	for _, incarnation := range sortedKeys(v.Board.ColdServers) {
		t, known := takes[incarnation]
		if !known || t.warm(v, now, firstSeen(v.Memory.markedSince, incarnation, now)) {
			a.command(&blackboard.NoteCold{Incarnation: incarnation})
			a.decide(Decision{Kind: "cold", Subject: incarnation, Choice: "warm", Reason: "says so since it was marked, or takes no requests"})
		}
	}
	for _, incarnation := range sortedKeys(takes) {
		t := takes[incarnation]
		if _, marked := v.Board.ColdServers[incarnation]; marked || !t.cold(now) {
			continue
		}
		a.command(&blackboard.NoteCold{Incarnation: incarnation, Service: t.service})
		a.decide(Decision{Kind: "cold", Subject: incarnation, Choice: "cold", Reason: "announces it for " + t.report.ColdUntil().Sub(now).String()})
	}
	for incarnation := range v.Memory.markedSince {
		if _, marked := v.Board.ColdServers[incarnation]; !marked {
			delete(v.Memory.markedSince, incarnation)
		}
	}
}

// taker is a backend server that takes requests, of a service that states a rate for cold
// instances.
type taker struct {
	service   string
	spec      blackboard.ServiceSpec
	report    evidence.Report
	hasReport bool
}

// takers returns the backend servers that take requests, or are about to, by incarnation.
func takers(v View) map[string]taker {
	takes := make(map[string]taker)
	add := func(service, incarnation string, r evidence.Report, hasReport bool) {
		spec := v.Board.Config.Services[service]
		if spec.ColdPerSecond <= 0 {
			return
		}
		hasReport = hasReport && r.Incarnation == incarnation
		takes[incarnation] = taker{service: service, spec: spec, report: r, hasReport: hasReport}
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
	return takes
}

// coldUntil is until when the engine on a VM is cold; the zero time if it is not.
func (v View) coldUntil(now time.Time, vm string) time.Time {
	r, hasReport := v.Evidence.Get(vm)
	if t := (taker{report: r, hasReport: hasReport}); t.cold(now) {
		return r.ColdUntil()
	}
	return time.Time{}
}

// cold tells whether a backend server is cold by its own word.
func (t taker) cold(now time.Time) bool {
	return t.hasReport && t.report.ColdMillis > 0 && now.Before(t.report.ColdUntil().Add(coldMargin))
}

// warm tells whether a backend server that was marked is surely not cold: it has said so in
// an announcement that left after the mark came.
func (t taker) warm(v View, now, marked time.Time) bool {
	if t.cold(now) || !t.hasReport {
		return false
	}
	return t.report.HeardAt.Sub(marked) >= v.Evidence.Interval()
}
