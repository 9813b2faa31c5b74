package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// BenchmarkRun is one run of all controllers with nothing to do, and the time
// to take one digest line, at today's size and at the size of docs/CAPACITY.md:
//
//	go test -run '^$' -bench BenchmarkRun -benchmem ./internal/controller
func BenchmarkRun(b *testing.B) {
	for _, vms := range []int{50, 200, 710, 1096} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			v, now := steadyView(vms)
			b.ReportAllocs()
			for b.Loop() {
				if a := Run(v, now); len(a.Commands) != 0 {
					b.Fatalf("a steady system wants %T", a.Commands[0])
				}
			}
		})
	}
}

// steadyView returns groups of eight VMs, all serving, each VM just heard.
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
			table.Hear(now, "entry", backend.Announcement{
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
