package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement/packing"
)

const (
	// expectedBack is how long the place of a VM that died is kept in its domain:
	// VMs that crash are back after some seconds, with their weights on their
	// hosts, and to load another model on the others in the meantime takes longer.
	expectedBack = 10 * time.Second
	// gatherFor is how long a pool that has never served, and a domain of one, waits
	// for more VMs before anything is loaded in it, in intervals between announcements. At a
	// start its VMs come to be known one after the other within one interval; chosen
	// by the first of them, its models were others than by all. The VMs of a
	// pool of 162 came within 3.4 intervals; gatherMost bounds the wait where they go
	// on coming.
	gatherFor  = 1
	gatherMost = 6
)

// packPools decides what the fabric domains of the pools form and what their other
// VMs hold; package packing tells how.
func packPools(v View, now time.Time, a *Actions) {
	domains := poolDomains(v, now)
	was := v.Memory.layouts
	v.Memory.layouts = make(map[string]packing.Layout)
	for _, pool := range sortedKeys(domains) {
		packPool(v, now, pool, domains[pool], was)
	}
	tellLayouts(v, a, was)
}

// poolDomains returns the domains of each pool, by pool and name, with their VMs and
// the groups that stand in them.
func poolDomains(v View, now time.Time) map[string]map[string]*packing.Domain {
	domains := make(map[string]map[string]*packing.Domain)
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		if vm.Pool == "" || vm.Leaving || !counts(v, now, vm) {
			continue
		}
		if domains[vm.Pool] == nil {
			domains[vm.Pool] = make(map[string]*packing.Domain)
		}
		d := domains[vm.Pool][vm.FabricDomain]
		if d == nil {
			d = &packing.Domain{Name: vm.FabricDomain, Groups: make(map[string]int)}
			domains[vm.Pool][vm.FabricDomain] = d
		}
		d.VMs = append(d.VMs, packed(v, vm))
	}
	for _, g := range v.Board.Groups {
		d := domains[v.Board.Config.Groups[g.Spec].Pool][g.FabricDomain]
		if d != nil && stands(v, g) {
			d.Groups[g.Spec]++
		}
	}
	return domains
}

// counts tells whether a VM counts towards what its domain can form.
func counts(v View, now time.Time, vm blackboard.VM) bool {
	if working(v, vm) {
		return true
	}
	dead := time.Duration(now.UnixMilli()-vm.SinceMillis) * time.Millisecond
	return dead >= 0 && dead < expectedBack
}

// stands tells whether a group is to stay: it serves or is on its way to.
func stands(v View, g blackboard.Group) bool {
	active := g.State == blackboard.Forming || g.State == blackboard.Loading || g.State == blackboard.Serving
	return active && !outgoing(v, g)
}

// packed returns what the packing needs to know of a VM.
func packed(v View, vm blackboard.VM) packing.VM {
	g, grouped := v.Board.Groups[vm.Group]
	grouped = grouped && g.Epoch == vm.Epoch && stands(v, g)
	return packing.VM{
		ID: vm.ID, Grouped: grouped, Away: vm.Liveness != blackboard.Alive,
		Loaded: v.Memory.loaded(vm), Staged: vm.Weights,
	}
}

// packPool lays out the domains of one pool.
func packPool(v View, now time.Time, pool string, byName map[string]*packing.Domain, was map[string]packing.Layout) {
	models := poolModels(v, pool)
	if len(models) == 0 {
		return
	}
	starting := neverServed(v, pool)
	var domains []packing.Domain
	all, known := 0, false
	for _, name := range sortedKeys(byName) {
		d := byName[name]
		all += len(d.VMs)
		if before, ok := was[name]; ok {
			d.Before = before.Groups
			known = true
		}
		if !starting || d.Before != nil || !v.gathers(name, len(d.VMs), now) {
			domains = append(domains, *d)
		}
	}
	if starting && !known && v.gathers(pool, all, now) {
		return
	}
	for name, layout := range packing.Plan(models, domains, starting) {
		v.Memory.layouts[name] = layout
	}
}

// poolModels returns the models that a pool serves.
func poolModels(v View, pool string) []packing.Model {
	e := v.Board.Config.Services[pool].Engine
	var models []packing.Model
	for _, name := range sortedKeys(v.Board.Config.Groups) {
		spec := v.Board.Config.Groups[name]
		if spec.Pool != pool || spec.Share <= 0 || spec.VMsPerReplica <= 0 {
			continue
		}
		m := packing.Model{Name: name, Size: spec.VMsPerReplica, Share: spec.Share}
		if e != nil {
			m.Load, m.Warm = loadTimes(e, spec.Model)
		}
		models = append(models, m)
	}
	return models
}

func loadTimes(e *blackboard.EngineSpec, model string) (load, warm time.Duration) {
	for _, m := range e.Models {
		if m.Name == model {
			return time.Duration(m.LoadMillis) * time.Millisecond, time.Duration(m.StagedMillis) * time.Millisecond
		}
	}
	return 0, 0
}

// gathering is how many VMs of a domain or a pool were known, since when, and
// since when any.
type gathering struct {
	vms          int
	since, first time.Time
}

// gathers tells whether a domain or a pool without layouts is still coming to be
// known.
func (v View) gathers(name string, vms int, now time.Time) bool {
	g, known := v.Memory.gathered[name]
	if !known {
		g = gathering{vms, now, now}
	}
	if g.vms != vms {
		g.vms, g.since = vms, now
	}
	v.Memory.gathered[name] = g
	each := v.Evidence.Interval()
	return now.Sub(g.since) < gatherFor*each && now.Sub(g.first) < gatherMost*each
}

// tellLayouts logs each layout that has changed.
func tellLayouts(v View, a *Actions, was map[string]packing.Layout) {
	for _, domain := range sortedKeys(v.Memory.layouts) {
		now, before := layoutText(v.Memory.layouts[domain]), layoutText(was[domain])
		if now != before {
			a.decide(Decision{Kind: "pack", Subject: domain, Choice: now, RunnerUp: before, Reason: "worth most with the VMs that live"})
		}
	}
}

func layoutText(l packing.Layout) string {
	var parts []string
	for _, model := range sortedKeys(l.Groups) {
		parts = append(parts, fmt.Sprintf("%d of %s", l.Groups[model], model))
	}
	return strings.Join(parts, ", ")
}
