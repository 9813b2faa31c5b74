package raft

import (
	"slices"
	"time"
)

// blocked reports whether the link in this direction is cut now.
func (w *simCluster) blocked(from, to string) bool {
	return w.cutUntil[[2]string{from, to}] > w.now
}

// send puts a message in flight, or loses, duplicates or delays it.
func (w *simCluster) send(m Message) {
	copies := 1
	if w.rng.Float64() < w.faults.loss {
		copies = 0
	}
	if w.rng.Float64() < w.faults.duplicate {
		copies++
	}
	for range copies {
		delay := time.Duration(w.rng.Int64N(int64(2 * simStep)))
		if w.rng.Float64() < w.faults.delay {
			delay += time.Duration(w.rng.Int64N(int64(3 * simElectionTimeout)))
		}
		w.inFlight = append(w.inFlight, simMessage{at: w.now + delay, m: cloneMessage(m)})
	}
}

// cloneMessage copies the parts of a message that its sender may change later.
func cloneMessage(m Message) Message {
	m.Entries = slices.Clone(m.Entries)
	return m
}

// deliver moves the messages that are due to their processes, in random order.
func (w *simCluster) deliver() {
	var due, rest []simMessage
	for _, m := range w.inFlight {
		if m.at <= w.now {
			due = append(due, m)
		} else {
			rest = append(rest, m)
		}
	}
	w.inFlight = rest
	w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		from, to := w.owner[m.m.From], w.owner[m.m.To]
		if w.blocked(from, to) {
			continue
		}
		for _, vm := range w.vms {
			if vm.name == to && vm.proc != nil && len(vm.proc.inbox) < 500 {
				vm.proc.inbox = append(vm.proc.inbox, m.m)
			}
		}
	}
}
