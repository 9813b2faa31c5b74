package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

const (
	// fill is the part of a pool's VMs that serving groups are to hold. The
	// rest stand by, staged, for the members that fail.
	//
	// Load: members of serving groups fail every few seconds and many do not
	// return. Harm: without a spare in the domain the survivors of a group stand
	// idle until one comes. Reason for 0.82: in domains of nine it leaves two
	// beside a group of four and one of three.
	fill = 0.82
	// storeWindow is the time over which loads are counted against the rate of
	// the weight store.
	storeWindow = 5 * time.Second
)

// wantedByShare returns how many groups a pooled spec should have: its share of
// the VMs that are alive, in whole groups.
func wantedByShare(v View, spec blackboard.GroupSpec) int {
	total := 0.0
	for _, other := range v.Board.Config.Groups {
		if other.Pool == spec.Pool {
			total += other.Share
		}
	}
	if total <= 0 || spec.Share <= 0 {
		return 0
	}
	living := 0
	for _, vm := range v.Board.VMs {
		if vm.Pool == spec.Pool && !vm.Leaving && vm.Liveness != blackboard.Dead {
			living++
		}
	}
	groups := fill * float64(living) * spec.Share / total / float64(spec.VMsPerReplica)
	return max(1, int(groups))
}

// loadsAllowed tells whether n more loads from the weight store may begin, and
// counts them if so.
func (m *Memory) loadsAllowed(now time.Time, perSecond float64, n int) bool {
	kept := m.loads[:0]
	for _, at := range m.loads {
		if now.Sub(at) < storeWindow {
			kept = append(kept, at)
		}
	}
	m.loads = kept
	if perSecond > 0 && float64(len(m.loads)+n) > perSecond*storeWindow.Seconds() {
		return false
	}
	for range n {
		m.loads = append(m.loads, now)
	}
	return true
}

// engineOf returns the figures of the pool that a spec forms its groups from.
func engineOf(v View, spec string) *blackboard.EngineSpec {
	return v.Board.Config.Services[v.Board.Config.Groups[spec].Pool].Engine
}

// fetching returns how many members of a group have to fetch its weights.
func fetching(v View, g blackboard.Group) int {
	n := 0
	for _, m := range g.Members {
		if !holdsWeights(v, m.VM, g.Model) {
			n++
		}
	}
	return n
}

// startOpening lets a group of a pool load when the weight store has room.
func startOpening(v View, now time.Time, a *Actions, g blackboard.Group) {
	perSecond := 0.0
	if e := engineOf(v, g.Spec); e != nil {
		perSecond = e.LoadsPerSecond
	}
	n := fetching(v, g)
	if n > 0 && !v.Memory.loadsAllowed(now, perSecond, n) {
		return
	}
	a.moveGroup(g, blackboard.Loading, "the weight store has room", now)
}

// staging fetches weights to the hosts of VMs that stand by, so that they can
// replace a member within a second or two: of the models that their domain
// serves, the one with the fewest staged for each group.
func staging(v View, now time.Time, a *Actions) {
	domains := make(map[string]*standby)
	for _, g := range v.Board.Groups {
		if g.Opens && (g.State == blackboard.Serving || g.State == blackboard.Loading || g.State == blackboard.Forming) {
			domainOf(domains, g.FabricDomain).groups[g.Model]++
		}
	}
	for _, id := range sortedKeys(v.Board.VMs) {
		vm := v.Board.VMs[id]
		if vm.Pool == "" || !vm.Free() || vm.Leaving || vm.Liveness != blackboard.Alive {
			continue
		}
		domainOf(domains, vm.FabricDomain).add(v, vm)
	}
	for _, name := range sortedKeys(domains) {
		domains[name].stage(v, now, a)
	}
}

// standby is what one fabric domain serves and what stands by in it.
type standby struct {
	groups map[string]int
	staged map[string]int
	idle   []blackboard.VM
}

func domainOf(domains map[string]*standby, name string) *standby {
	d := domains[name]
	if d == nil {
		d = &standby{groups: make(map[string]int), staged: make(map[string]int)}
		domains[name] = d
	}
	return d
}

func (d *standby) add(v View, vm blackboard.VM) {
	for _, model := range vm.Weights {
		if d.groups[model] > 0 {
			d.staged[model]++
			return
		}
	}
	d.idle = append(d.idle, vm)
}

func (d *standby) stage(v View, now time.Time, a *Actions) {
	for _, vm := range d.idle {
		model := d.neediest()
		r, heard := v.Evidence.Get(vm.ID)
		if model == "" || !heard || r.Incarnation != vm.Incarnation || now.Sub(r.HeardAt) > v.Evidence.RoutableAge() {
			continue
		}
		d.staged[model]++
		if sentRecently(v, now, vm.ID, backend.OrderStage) {
			continue
		}
		if e := v.Board.Config.Services[vm.Pool].Engine; e == nil || !v.Memory.loadsAllowed(now, e.LoadsPerSecond, 1) {
			continue
		}
		send(v, now, a, vm, vm.Incarnation, backend.Order{Kind: backend.OrderStage, Model: model})
	}
}

func (d *standby) neediest() string {
	best := ""
	for _, model := range sortedKeys(d.groups) {
		if best == "" || d.staged[model]*d.groups[best] < d.staged[best]*d.groups[model] {
			best = model
		}
	}
	return best
}

// stagePatience is how long a VM may take to report what it was told to stage:
// longer than the longest load.
const stagePatience = 30 * time.Second

func sentRecently(v View, now time.Time, vm string, kind backend.OrderKind) bool {
	o := v.Memory.orders[vm]
	return o != nil && o.kind == kind && now.Sub(o.sentAt) < stagePatience
}
