package blackboard

import (
	"fmt"
	"testing"
)

// BenchmarkApply measures one controller command on a board of the size in docs/CAPACITY.md.
// Each replica and each entry applies every command:
//
//	go test -run '^$' -bench BenchmarkApply -benchmem ./internal/blackboard
func BenchmarkApply(b *testing.B) {
	board := servingBoard(88)
	paused, err := Encode(SetLiveness{VM: "vm-3-3", Incarnation: "a", To: Paused})
	if err != nil {
		b.Fatal(err)
	}
	benchmarkApply(b, board, paused)
}

// BenchmarkApplyBatch measures a batch of 256 commands on a board of 1,096 VMs, as a start or
// the loss of a fabric domain causes:
//
//	go test -run '^$' -bench BenchmarkApplyBatch -benchmem ./internal/blackboard
func BenchmarkApplyBatch(b *testing.B) {
	board := servingBoard(137)
	var commands []Command
	for n := range 32 {
		for i := range 8 {
			commands = append(commands, &SetLiveness{VM: fmt.Sprintf("vm-%d-%d", n, i), Incarnation: "a", To: Paused})
		}
	}
	batch, err := NewBatch(commands)
	if err != nil {
		b.Fatal(err)
	}
	encoded, err := Encode(batch)
	if err != nil {
		b.Fatal(err)
	}
	benchmarkApply(b, board, encoded)
}

// BenchmarkFollow measures 20 commands that an entry receives together, on a board of 1,096 VMs:
//
//	go test -run '^$' -bench BenchmarkFollow -benchmem ./internal/blackboard
func BenchmarkFollow(b *testing.B) {
	board := servingBoard(137)
	var commands [][]byte
	for n := range 20 {
		encoded, err := Encode(SetLiveness{VM: fmt.Sprintf("vm-%d-1", n), Incarnation: "a", To: Paused})
		if err != nil {
			b.Fatal(err)
		}
		commands = append(commands, encoded)
	}
	b.ReportAllocs()
	for b.Loop() {
		next, err := board.ApplyAll(commands)
		if err != nil || next.Revision != board.Revision+20 {
			b.Fatal("not applied")
		}
	}
}

// servingBoard returns a board with serving groups of eight VMs each.
func servingBoard(groups int) *Board {
	board := New()
	for n := range groups {
		g := Group{ID: fmt.Sprintf("demo-%d", n), Spec: "demo", FabricDomain: "d", State: Serving, Epoch: uint64(n)}
		for i := range 8 {
			v := vm(fmt.Sprintf("vm-%d-%d", n, i), "a")
			v.Group, v.Epoch, v.Liveness = g.ID, g.Epoch, Alive
			board.VMs[v.ID] = v
			g.Members = append(g.Members, member(v.ID))
		}
		board.Groups[g.ID] = g
	}
	return board
}

func benchmarkApply(b *testing.B, board *Board, encoded []byte) {
	b.ReportAllocs()
	for b.Loop() {
		if next, _, err := board.Apply(encoded); err != nil || next == board {
			b.Fatal("not applied")
		}
	}
}
