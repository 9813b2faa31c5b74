package controller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// wideOfNineteen are models of which a domain of nineteen holds one wide group or four narrow
// ones.
var wideOfNineteen = []blackboard.ModelSpec{
	{Name: "wide", VMs: 16, Share: 0.5, LoadMillis: 14_000, StagedMillis: 1500},
	{Name: "narrow", VMs: 4, Share: 0.5, LoadMillis: 12_000, StagedMillis: 1500},
}

// wideDomain returns a pool of five domains of nineteen, and one of its domains that has a wide
// group.
func wideDomain(t *testing.T, seed uint64) (*poolWorld, string) {
	w := newPoolWorld(t, seed, 5, 19)
	w.apply(&blackboard.ReplaceConfiguration{Version: 2, Services: []blackboard.ServiceSpec{{
		Name: "pool", Engine: &blackboard.EngineSpec{Slots: 4, LoadsPerSecond: 40, LoadsAtOnce: 60, Models: wideOfNineteen},
	}}})
	w.run(25 * time.Second)
	for _, domain := range sortedKeys(w.memory.layouts) {
		if w.memory.layouts[domain].Groups["wide"] > 0 {
			return w, domain
		}
	}
	t.Fatal("no domain has a wide group")
	return nil, ""
}

// removeVM removes a VM of a domain for good.
func (w *poolWorld) removeVM(domain string) {
	for _, e := range w.engines {
		if e.domain == domain && e.alive {
			e.alive = false
			return
		}
	}
}

// addEmptyVM adds a VM without weights to a domain.
func (w *poolWorld) addEmptyVM(domain string, n int) {
	e := &poolEngine{address: fmt.Sprintf("%s-new-%d", domain, n), domain: domain}
	e.start(w.now)
	w.engines = append(w.engines, e)
}

// inService counts the live VMs of a domain and those of them in a serving group.
func (w *poolWorld) inService(domain string) (living, serving int) {
	for _, e := range w.engines {
		if e.domain != domain || !e.alive {
			continue
		}
		living++
		if g := w.board.Groups[w.board.VMs[e.address].Group]; g.State == blackboard.Serving {
			serving++
		}
	}
	return living, serving
}

// Guards against a domain that waits for VMs that never return. A domain of nineteen has lost
// four VMs for good; every three seconds one more is lost, and an empty one appears under another
// name. With each of the last three counted as returning, the fifteen VMs of the domain stayed
// free and waited for a wide group of sixteen without end. As no VM has returned, the forecast
// must not expect returns, and the VMs must serve narrow groups.
func TestADomainDoesNotWaitForVMsThatNeverCameBack(t *testing.T) {
	w, domain := wideDomain(t, 1)
	for range 4 {
		w.removeVM(domain)
		w.run(time.Second)
	}
	living, serving := 0, 0
	for n := range 30 {
		w.removeVM(domain)
		w.addEmptyVM(domain, n)
		w.run(3 * time.Second)
		l, s := w.inService(domain)
		living, serving = living+l, serving+s
	}
	assert.Assert(t, 15*serving >= 6*living, "of %d VM observations %d were in service", living, serving)
}

// The VMs of a domain crash and return after five seconds with their weights, as on most pools.
// The domain must keep waiting for them: loading another model meanwhile takes longer than their
// return.
func TestADomainWaitsForVMsThatComeBack(t *testing.T) {
	w, domain := wideDomain(t, 2)
	before := w.memory.layouts[domain].Groups
	for range 12 {
		for n, e := range w.engines {
			if e.domain == domain && n%5 == 0 {
				e.alive, e.backAt = false, w.now.Add(5*time.Second)
			}
		}
		w.run(8 * time.Second)
		assert.DeepEqual(t, w.memory.layouts[domain].Groups, before)
	}
}

// Guards against an overloaded store while orders are in transit. A domain of nineteen returns
// empty, and orders and reports take three tenths of a second. The store serves six loads at full
// speed. In that time each run of the controllers started six more loads, and with all nineteen
// at once each load took three times as long.
func TestTheStoreIsNotOverloadedWhileOrdersAreOnTheirWay(t *testing.T) {
	w := newPoolWorld(t, 3, 5, 19)
	w.configure(2, wideOfNineteen)
	w.run(25 * time.Second)
	w.orderDelay = 300 * time.Millisecond
	for _, e := range w.engines[:19] {
		e.alive, e.staged, e.backAt = false, "", w.now.Add(4*time.Second)
	}
	most := 0
	for range 200 {
		w.run(simStep)
		loading := 0
		for _, e := range w.engines {
			if e.alive && e.phase == backend.PhaseLoading && e.phaseAt.Sub(w.now) > 2*time.Second {
				loading++
			}
		}
		most = max(most, loading)
	}
	assert.Assert(t, most > 0 && most <= 6, "%d loads at once", most)
}
