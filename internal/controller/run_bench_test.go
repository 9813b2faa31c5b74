package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/placement/packing"
)

// BenchmarkRun measures one run of all controllers with nothing to do, at present sizes and at
// the size of docs/CAPACITY.md:
//
//	go test -run '^$' -bench BenchmarkRun -benchmem ./internal/controller
//
// BenchmarkRunOfPool measures the same for a pool of 1,095 VMs in 15 domains with groups of 32
// and 8 that open.
func BenchmarkRun(b *testing.B) {
	for _, vms := range []int{50, 200, 710, 1096} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			v, now := steadyView(vms)
			b.ReportAllocs()
			for b.Loop() {
				if a := Run(v, now); len(a.Commands) != 0 {
					b.Fatalf("a system in steady state issues %T", a.Commands[0])
				}
			}
		})
	}
}

// steadyView returns groups of eight VMs, all serving, with a fresh announcement of each VM.
func steadyView(vms int) (View, time.Time) {
	now := simStart
	table := evidence.NewTable("entry", 1)
	table.Digest(now, evidence.Cursor{})
	board := blackboard.New()
	board.Entries["entry"] = blackboard.Entry{ID: "entry"}
	board.Config.Groups["demo"] = blackboard.GroupSpec{Name: "demo", Model: "demo", Replicas: vms / 8, VMsPerReplica: 8}
	for n := range vms / 8 {
		g := blackboard.Group{
			ID: fmt.Sprintf("demo-%d", n), Spec: "demo", Model: "demo", Epoch: uint64(n + 1),
			State: blackboard.Serving, FabricDomain: fmt.Sprint(n % 30),
		}
		for i := range 8 {
			id := fmt.Sprintf("vm-%d-%d", n, i)
			g.Members = append(g.Members, blackboard.GroupMember{VM: id, Incarnation: "a"})
			board.VMs[id] = blackboard.VM{
				ID: id, Incarnation: "a", FabricDomain: g.FabricDomain, Accelerators: 4,
				Liveness: blackboard.Alive, Group: g.ID, Epoch: g.Epoch,
			}
			table.Record(now, "entry", backend.Announcement{
				ID: id, Kind: backend.KindEngine, Incarnation: "a", Sequence: 1, FabricDomain: g.FabricDomain,
				Accelerators: 4, Group: g.ID, Epoch: g.Epoch, Phase: backend.PhaseReady,
			})
		}
		board.Groups[g.ID] = g
	}
	return View{
		Board: board, Evidence: table, Memory: NewMemory(now.Add(-time.Minute), 0),
		Term: 1, LeaseUntil: now.Add(time.Minute),
	}, now
}

func BenchmarkRunOfPool(b *testing.B) {
	v, now := steadyPool(15, 73)
	Run(v, now)
	b.ReportAllocs()
	for b.Loop() {
		if a := Run(v, now); len(a.Commands) != 0 {
			b.Fatalf("a system in steady state issues %T", a.Commands[0])
		}
	}
}

// steadyPool returns a serving pool. The domains alternate between two groups of 32 and nine
// groups of 8; the other VMs are standbys.
func steadyPool(domains, each int) (View, time.Time) {
	now := simStart
	table := evidence.NewTable("entry", 1)
	table.Digest(now, evidence.Cursor{})
	board := blackboard.New()
	board.Entries["entry"] = blackboard.Entry{ID: "entry"}
	models := []blackboard.ModelSpec{
		{Name: "narrow", VMs: 8, Share: 0.4, LoadMillis: 12_000, StagedMillis: 1100},
		{Name: "wide", VMs: 32, Share: 0.6, LoadMillis: 16_000, StagedMillis: 1600},
	}
	board.Config.Services["pool"] = blackboard.ServiceSpec{
		Name: "pool", Engine: &blackboard.EngineSpec{Slots: 22, LoadsPerSecond: 90, LoadsAtOnce: 120, Models: models},
	}
	for _, m := range models {
		board.Config.Groups[m.Name] = blackboard.GroupSpec{Name: m.Name, Model: m.Name, Pool: "pool", VMsPerReplica: m.VMs, Share: m.Share}
	}
	memory := NewMemory(now.Add(-time.Minute), 0)
	memory.layouts = make(map[string]packing.Layout)
	for d := range domains {
		domain := fmt.Sprintf("domain-%02d", d)
		m := models[d%len(models)]
		count := each / m.VMs
		memory.layouts[domain] = packing.Layout{Groups: map[string]int{m.Name: count}}
		for i := range each {
			vm := blackboard.VM{
				ID: fmt.Sprintf("vm-%02d-%02d", d, i), Incarnation: "a", FabricDomain: domain, Pool: "pool", Accelerators: 1,
				Liveness: blackboard.Alive, Weights: []string{m.Name},
			}
			a := backend.Announcement{
				ID: vm.ID, Kind: backend.KindEngine, Incarnation: "a", Sequence: 1, FabricDomain: domain, Service: "pool",
				Accelerators: 1, Weights: vm.Weights, Group: standbyPrefix + m.Name, Phase: backend.PhaseReady,
			}
			if n := i / m.VMs; n < count {
				g := poolGroup(board, fmt.Sprintf("%s-%d", m.Name, d*10+n), domain, m.Name)
				if len(g.Members) == 0 {
					a.Phase = backend.PhaseOpen
				}
				g.Members = append(g.Members, blackboard.GroupMember{VM: vm.ID, Incarnation: "a"})
				board.Groups[g.ID] = g
				vm.Group, vm.Epoch = g.ID, g.Epoch
				a.Group, a.Epoch = g.ID, g.Epoch
				if a.Phase != backend.PhaseOpen {
					a.Phase = backend.PhaseReady
				}
			}
			board.VMs[vm.ID] = vm
			table.Record(now, "entry", a)
		}
	}
	return View{Board: board, Evidence: table, Memory: memory, Term: 1, LeaseUntil: now.Add(time.Minute)}, now
}

// poolGroup returns a group of the board, or a new one.
func poolGroup(board *blackboard.Board, id, domain, model string) blackboard.Group {
	if g, known := board.Groups[id]; known {
		return g
	}
	return blackboard.Group{
		ID: id, Spec: model, Model: model, Epoch: uint64(len(board.Groups) + 1), State: blackboard.Serving,
		FabricDomain: domain, RequiresOpenHead: true,
	}
}

// BenchmarkStartOfPool measures the run that forms all groups of a starting pool of 3,003 VMs in
// 273 domains.
func BenchmarkStartOfPool(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		v, now := newPool(273, 11)
		for range gatherIntervals {
			Run(v, now)
			now = now.Add(v.Evidence.Interval())
			announcePool(v, now)
		}
		b.StartTimer()
		if a := Run(v, now); len(a.Commands) < 273 {
			b.Fatalf("%d commands", len(a.Commands))
		}
	}
}

// newPool returns a pool whose VMs have just announced themselves for the first time and hold no
// weights.
func newPool(domains, each int) (View, time.Time) {
	v, now := steadyPool(domains, each)
	v.Memory.layouts = make(map[string]packing.Layout)
	clear(v.Board.Groups)
	for id, vm := range v.Board.VMs {
		vm.Group, vm.Epoch, vm.Weights = "", 0, nil
		v.Board.VMs[id] = vm
	}
	for _, m := range []struct {
		name string
		size int
	}{{"narrow", 3}, {"wide", 6}} {
		spec := v.Board.Config.Groups[m.name]
		spec.VMsPerReplica = m.size
		v.Board.Config.Groups[m.name] = spec
	}
	announcePool(v, now)
	return v, now
}

// announcePool records an announcement of every VM of a pool that it holds no weights.
func announcePool(v View, now time.Time) {
	for id, vm := range v.Board.VMs {
		v.Evidence.Record(now, "entry", backend.Announcement{
			ID: id, Kind: backend.KindEngine, Incarnation: "a", Sequence: uint64(now.UnixMilli()), FabricDomain: vm.FabricDomain,
			Service: "pool", Accelerators: 1, Phase: backend.PhaseIdle,
		})
	}
	v.Evidence.Digest(now, evidence.Cursor{})
}

// BenchmarkRunInAStart measures a run while the groups of a pool of 3,003 VMs load.
func BenchmarkRunInAStart(b *testing.B) {
	v, now := newPool(273, 11)
	for range gatherIntervals + 4 {
		for _, c := range Run(v, now).Commands {
			encoded, err := blackboard.Encode(c)
			if err != nil {
				b.Fatal(err)
			}
			if v.Board, _, err = v.Board.Apply(encoded); err != nil {
				b.Fatal(err)
			}
		}
		now = now.Add(v.Evidence.Interval())
		announcePool(v, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		Run(v, now)
	}
}
