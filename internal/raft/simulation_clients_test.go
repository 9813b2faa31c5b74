package raft

import (
	"encoding/json"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	simClientCount = 3
	simPatience    = 2 * simElectionTimeout
	simFastClients = 4
)

// simOp is one call of a client.
type simOp struct {
	client  int
	read    bool
	command simCommand
	call    time.Duration
	term    uint64
	open    bool
	// taken is set once the command was appended, so that it may take effect.
	taken bool
}

// simResult is what a client saw: a read's value, or whether a write took
// effect. Unknown stands for no answer.
type simResult struct {
	value   int
	ok      bool
	unknown bool
}

// simClients call the registers and keep the history for the checker.
type simClients struct {
	w       *world
	current []*simOp
	names   []int
	next    int
	value   int
	nextID  uint64
	history []porcupine.Operation
	answers int
	// pause is how many steps a client waits between calls, on average. With
	// few writes a follower that is cut off stays electable for long.
	pause int
}

func newSimClients(w *world) *simClients {
	c := &simClients{w: w, current: make([]*simOp, simClientCount), pause: simFastClients}
	for range simClientCount {
		c.names = append(c.names, c.next)
		c.next++
	}
	return c
}

func (c *simClients) step() {
	for i := range c.current {
		op := c.current[i]
		if op == nil {
			if c.w.rng.IntN(c.pause) == 0 {
				c.begin(i)
			}
			continue
		}
		if c.w.now-op.call > simPatience {
			c.unknown(op)
		}
	}
}

// begin calls a process that claims to lead, or any other.
func (c *simClients) begin(i int) {
	p := c.w.vms[c.w.rng.IntN(len(c.w.vms))].proc
	if p == nil || !p.lead {
		return
	}
	c.value++
	op := &simOp{
		client: i, call: c.w.now, open: true, read: c.w.rng.IntN(2) == 0,
		command: simCommand{Key: []string{"x", "y"}[c.w.rng.IntN(2)], Value: c.value},
	}
	if op.read {
		c.read(p, op)
		return
	}
	op.command.CAS = c.w.rng.IntN(2) == 0
	op.command.Expect = p.state[op.command.Key]
	c.enqueue(p, op, func() { c.propose(p, op) })
}

// enqueue lets a process take a call when it next has its turn: a frozen one
// when it wakes, before or after it looks at its clock.
func (c *simClients) enqueue(p *simProcess, op *simOp, call func()) {
	c.current[op.client] = op
	p.calls = append(p.calls, func() {
		if op.open {
			call()
		}
	})
}

func (c *simClients) propose(p *simProcess, op *simOp) {
	data, err := json.Marshal(op.command)
	if err != nil {
		panic(err)
	}
	at, err := p.node.Propose(data)
	if err != nil {
		c.drop(op)
		return
	}
	op.taken = true
	op.term = at.Term
	p.waiters[at.Index] = op
}

func (c *simClients) read(p *simProcess, op *simOp) {
	byLease := p.fastRead && p.vm.clock(c.w.now) < p.lease
	if byLease && c.w.rng.IntN(3) > 0 {
		c.w.counts["reads by lease"]++
		c.finish(op, simResult{value: p.state[op.command.Key]})
		return
	}
	c.enqueue(p, op, func() {
		c.nextID++
		if p.node.ReadIndex(p.vm.clock(c.w.now), c.nextID) != nil {
			c.drop(op)
			return
		}
		p.reads[c.nextID] = op
	})
}

func (c *simClients) readConfirmed(p *simProcess, r Read) {
	op := p.reads[r.ID]
	if op == nil {
		return
	}
	delete(p.reads, r.ID)
	if !op.open {
		return
	}
	c.w.counts["reads by quorum"]++
	c.finish(op, simResult{value: p.state[op.command.Key]})
}

// applied returns the answer to the caller of an entry, to be given once the
// step is through.
func (c *simClients) applied(p *simProcess, e Entry, ok bool) func() {
	op := p.waiters[e.Index]
	if op == nil {
		return nil
	}
	delete(p.waiters, e.Index)
	if !op.open {
		return nil
	}
	if op.term != e.Term {
		c.w.counts["writes superseded"]++
		return func() { c.drop(op) }
	}
	return func() { c.finish(op, simResult{ok: ok}) }
}

// drop forgets a call that surely took no effect.
func (c *simClients) drop(op *simOp) {
	op.open = false
	c.current[op.client] = nil
}

func (c *simClients) finish(op *simOp, r simResult) {
	c.record(op, r, c.w.now)
	c.answers++
}

func (c *simClients) unknown(op *simOp) {
	if op.read || !op.taken {
		c.drop(op)
		return
	}
	c.w.counts["outcomes unknown"]++
	c.record(op, simResult{unknown: true}, time.Duration(math.MaxInt64))
	// The call may take effect at any time, so the client goes on under
	// another name.
	c.names[op.client] = c.next
	c.next++
}

func (c *simClients) record(op *simOp, r simResult, returned time.Duration) {
	op.open = false
	c.current[op.client] = nil
	c.history = append(c.history, porcupine.Operation{
		ClientId: c.names[op.client], Input: *op, Output: r, Call: int64(op.call), Return: int64(returned),
	})
}

func (c *simClients) leadershipLost(p *simProcess) {
	for id, op := range p.reads {
		delete(p.reads, id)
		if op.open {
			c.drop(op)
		}
	}
}

func (c *simClients) processLost(p *simProcess) {
	c.leadershipLost(p)
	c.lostBelow(p, math.MaxUint64)
}

// lostBelow ends the wait for entries that a snapshot or a crash has hidden.
func (c *simClients) lostBelow(p *simProcess, index uint64) {
	for at, op := range p.waiters {
		if at <= index {
			delete(p.waiters, at)
			if op.open {
				c.unknown(op)
			}
		}
	}
}

// registerModel is the sequential register that the history must agree with.
func registerModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, op := range history {
				key := op.Input.(simOp).command.Key
				byKey[key] = append(byKey[key], op)
			}
			return [][]porcupine.Operation{byKey["x"], byKey["y"]}
		},
		Init: func() any { return 0 },
		Step: func(state, input, output any) (bool, any) {
			value := state.(int)
			op := input.(simOp)
			r := output.(simResult)
			if op.read {
				return r.value == value, value
			}
			holds := !op.command.CAS || value == op.command.Expect
			if !r.unknown && r.ok != holds {
				return false, value
			}
			if holds {
				return true, op.command.Value
			}
			return true, value
		},
	}
}
