package controller

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement/packing"
)

const (
	// gatherIntervals is how long a pool without callers, or a domain of such a pool, waits for
	// more VMs before anything is loaded in it, in announcement intervals. At a start, the VMs of
	// a pool become known one after the other within some intervals. A choice of models by the
	// first VMs differs from the choice by all of them. maxGatherIntervals limits the wait if VMs
	// keep appearing.
	gatherIntervals    = 1
	maxGatherIntervals = 6
	// gatherMissedVMs ends the wait earlier: it ends when that many more VMs would have appeared
	// at the previous pace. minGatherIntervals is the shortest wait for that.
	gatherMissedVMs    = 200
	minGatherIntervals = 0.25
)

// planLayouts decides which groups the fabric domains of the pools form and which models their
// other VMs hold; see package packing.
func planLayouts(v View, now time.Time, a *Actions) {
	previous := v.Memory.previousLayouts(v)
	v.Memory.layouts = make(map[string]packing.Layout)
	vms := poolVMs(v)
	for _, pool := range sortedKeys(vms) {
		h := v.Memory.historyOf(pool, now)
		h.observe(now, vms[pool], countReleasing(v, vms[pool]))
		domains := poolDomains(v, now, pool, vms[pool], h)
		forecast := h.forecast(now, vms[pool], len(domains))
		models := planPool(v, now, a, pool, domains, forecast, previous)
		logLayouts(v, now, a, models, domains, forecast, previous)
	}
	v.Memory.planned = make(map[string]int)
	for _, layout := range v.Memory.layouts {
		for model, n := range layout.Groups {
			v.Memory.planned[model] += n
		}
	}
}

// previousLayouts returns the layouts of the last run, and those that domains had before the
// evacuation of their data centre. The latter are kept for the domains' return.
func (m *Memory) previousLayouts(v View) map[string]packing.Layout {
	if len(v.Board.Evacuations) == 0 && len(m.evacuatedLayouts) == 0 {
		return m.layouts
	}
	evacuated := make(map[string]bool)
	for _, vm := range v.Board.VMs {
		if v.Board.Evacuated(vm.DataCentre) {
			evacuated[vm.FabricDomain] = true
		}
	}
	previous := maps.Clone(m.layouts)
	if previous == nil {
		previous = make(map[string]packing.Layout)
	}
	for domain, layout := range m.evacuatedLayouts {
		if _, laidOut := previous[domain]; !laidOut {
			previous[domain] = layout
		}
	}
	clear(m.evacuatedLayouts)
	for domain := range evacuated {
		if layout, laidOut := previous[domain]; laidOut {
			m.evacuatedLayouts[domain] = layout
		}
	}
	return previous
}

// poolVMs returns the VMs of each pool that are not leaving and whose data centre is not
// evacuated.
func poolVMs(v View) map[string][]blackboard.VM {
	pools := make(map[string][]blackboard.VM)
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		if vm.Pool == "" || vm.Leaving || v.Board.Evacuated(vm.DataCentre) {
			continue
		}
		if pools[vm.Pool] == nil {
			pools[vm.Pool] = make([]blackboard.VM, 0, len(v.Board.VMs))
		}
		pools[vm.Pool] = append(pools[vm.Pool], vm)
	}
	return pools
}

// countReleasing counts the live VMs held by a group that is being taken apart.
func countReleasing(v View, vms []blackboard.VM) int {
	n := 0
	for _, vm := range vms {
		g := v.Board.Groups[vm.Group]
		if vm.Liveness != blackboard.Dead && vm.Group != "" && g.Epoch == vm.Epoch && !isKept(v, g) {
			n++
		}
	}
	return n
}

func (m *Memory) historyOf(pool string, now time.Time) *history {
	h := m.histories[pool]
	if h == nil {
		h = newHistory(now)
		m.histories[pool] = h
	}
	return h
}

// poolDomains returns the domains of a pool by name, with their VMs and the groups that are to
// stay in them.
func poolDomains(v View, now time.Time, pool string, vms []blackboard.VM, h *history) map[string]*packing.Domain {
	domains := make(map[string]*packing.Domain)
	for _, vm := range vms {
		if !countsForPool(v, vm) && h.returnProbability(livenessAge(now, vm)) < minReturnProbability {
			continue
		}
		d := domains[vm.FabricDomain]
		if d == nil {
			d = &packing.Domain{Name: vm.FabricDomain, DataCentre: vm.DataCentre, Groups: make(map[string]int)}
			domains[vm.FabricDomain] = d
		}
		row := packingVM(v, vm)
		if row.Absent {
			row.ReturnsPerSecond = h.returnRate(livenessAge(now, vm))
		}
		d.VMs = append(d.VMs, row)
	}
	for _, g := range v.Board.Groups {
		if d := domains[g.FabricDomain]; d != nil && v.Board.Config.Groups[g.Spec].Pool == pool && isKept(v, g) {
			d.Groups[g.Spec]++
		}
	}
	return domains
}

// isKept reports whether a group is to stay: it serves or is about to, and is not outgoing.
func isKept(v View, g blackboard.Group) bool {
	active := g.State == blackboard.Forming || g.State == blackboard.Loading || g.State == blackboard.Serving
	return active && !isOutgoing(v, g)
}

// packingVM returns the row of a VM as package packing needs it.
func packingVM(v View, vm blackboard.VM) packing.VM {
	g, grouped := v.Board.Groups[vm.Group]
	grouped = grouped && g.Epoch == vm.Epoch && isKept(v, g)
	loading := ""
	if !grouped {
		loading = loadingModel(v, vm)
		if loading == "" {
			loading = v.Memory.stagingModel(vm)
		}
	}
	row := packing.VM{
		ID: vm.ID, InGroup: grouped, Absent: vm.Liveness != blackboard.Alive,
		Loaded: v.Memory.modelOf(vm), Staged: vm.Weights, Loading: loading,
	}
	if grouped && g.State == blackboard.Serving && g.RequiresOpenHead {
		row.Group, row.Serves = g.ID, g.Spec
	}
	return row
}

// loadingModel returns the model that a VM reports as loading, or "".
func loadingModel(v View, vm blackboard.VM) string {
	r, hasReport := v.Evidence.Get(vm.ID)
	if !hasReport || r.Incarnation != vm.Incarnation || !isJoining(r) {
		return ""
	}
	if model, standby := strings.CutPrefix(r.Group, standbyPrefix); standby {
		return model
	}
	return v.Board.Groups[r.Group].Model
}

// planPool plans the layouts of the domains of one pool, and returns the pool's models with
// their demand.
func planPool(
	v View, now time.Time, a *Actions, pool string, byName map[string]*packing.Domain, forecast packing.Forecast, previous map[string]packing.Layout,
) []packing.Model {
	models := poolModels(v, pool)
	if len(models) == 0 {
		return nil
	}
	addDemand(v, now, pool, models)
	starting := noCallersYet(v)
	var domains []packing.Domain
	all, known := 0, false
	for _, name := range sortedKeys(byName) {
		d := byName[name]
		all += len(d.VMs)
		if before, ok := previous[name]; ok {
			d.PreviousGroups = before.Groups
			known = true
		}
		if !starting || d.PreviousGroups != nil || !v.isGathering(name, len(d.VMs), now) {
			domains = append(domains, *d)
		}
	}
	if starting && !known && v.isGathering(pool, all, now) {
		return models
	}
	domains = planTurns(v, now, a, models, domains)
	perHost := stagedPerHost(v, pool, models)
	for name, layout := range packing.Plan(v.Memory.turning.steadyDemand(models), domains, forecast, starting) {
		layout.StageByVM = packing.ChooseStaged(models, *byName[name], layout, perHost, starting)
		v.Memory.layouts[name] = layout
	}
	return models
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
			m.StoreLoad, m.StagedLoad = loadTimes(e, spec.Model)
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

// gathering is how many VMs of a domain or a pool are known, since when that number, and since
// when any.
type gathering struct {
	vms          int
	since, first time.Time
}

// isGathering reports whether VMs of a domain or a pool without layouts are still becoming known.
func (v View) isGathering(name string, vms int, now time.Time) bool {
	g, known := v.Memory.gatherings[name]
	if !known {
		g = gathering{vms, now, now}
	}
	if g.vms != vms {
		g.vms, g.since = vms, now
	}
	v.Memory.gatherings[name] = g
	interval := v.Evidence.Interval()
	return now.Sub(g.since) < g.quiet(interval) && now.Sub(g.first) < maxGatherIntervals*interval
}

// quiet returns for how long no new VM must have appeared for all VMs to count as known.
func (g gathering) quiet(interval time.Duration) time.Duration {
	pace := g.since.Sub(g.first) / time.Duration(max(1, g.vms))
	least := time.Duration(minGatherIntervals * float64(interval))
	if pace == 0 {
		return gatherIntervals * interval
	}
	return min(gatherIntervals*interval, max(least, gatherMissedVMs*pace))
}

// logLayouts logs each layout of a pool's domains that has changed.
func logLayouts(
	v View, now time.Time, a *Actions, models []packing.Model, domains map[string]*packing.Domain, o packing.Forecast, previous map[string]packing.Layout,
) {
	for _, domain := range sortedKeys(domains) {
		next, before := layoutText(v.Memory.layouts[domain]), layoutText(previous[domain])
		if next == before {
			continue
		}
		reason := fmt.Sprintf(
			"highest worth with %d VMs; forecast: %.2f of the VMs away, a VM lives %.0f s, %.3f new VMs per second and domain",
			len(domains[domain].VMs), o.AbsentFraction, o.MeanLifetime.Seconds(), o.NewVMsPerSecond)
		for _, m := range models {
			if m.Demand != nil {
				reason += "; " + m.Name + " " + demandText(v, now, m)
			}
		}
		a.decide(Decision{Kind: "pack", Subject: domain, Choice: next, RunnerUp: before, Reason: reason})
	}
}

func layoutText(l packing.Layout) string {
	var parts []string
	for _, model := range sortedKeys(l.Groups) {
		parts = append(parts, fmt.Sprintf("%d of %s", l.Groups[model], model))
	}
	return strings.Join(parts, ", ")
}
