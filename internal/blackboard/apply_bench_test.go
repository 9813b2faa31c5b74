package blackboard

import (
	"fmt"
	"testing"
)

// BenchmarkApply is one command of a controller on a board of the size of
// docs/CAPACITY.md, as each replica and each entry applies it:
//
//	go test -run '^$' -bench BenchmarkApply -benchmem ./internal/blackboard
func BenchmarkApply(b *testing.B) {
	board := New()
	for n := range 88 {
		g := Group{ID: fmt.Sprintf("demo-%d", n), Spec: "demo", FabricDomain: "d", State: Serving, Epoch: uint64(n)}
		for i := range 8 {
			v := vm(fmt.Sprintf("vm-%d-%d", n, i), "a")
			v.Group, v.Epoch, v.Liveness = g.ID, g.Epoch, Alive
			board.VMs[v.ID] = v
			g.Members = append(g.Members, member(v.ID))
		}
		board.Groups[g.ID] = g
	}
	paused, err := Encode(SetLiveness{VM: "vm-3-3", Incarnation: "a", To: Paused})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if next, _, err := board.Apply(paused); err != nil || next == board {
			b.Fatal("not applied")
		}
	}
}
