package raft

import (
	"encoding/json"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	simClientCount = 3
	simCallTimeout = 2 * simElectionTimeout
	simFastPause   = 4
)

// simOp is one operation of a client.
type simOp struct {
	client  int
	read    bool
	command simCommand
	call    time.Duration
	term    uint64
	open    bool
	// appended is set once a leader has appended the command, which may then take
	// effect.
	appended bool
}

// simResult is the result that a client received: the value of a read, or in ok
// whether a write took effect. If unknown is set, the client got no answer.
type simResult struct {
	value   int
	ok      bool
	unknown bool
}

// simClients call the registers and record the history for the linearizability
// check.
type simClients struct {
	w       *simCluster
	current []*simOp
	names   []int
	next    int
	value   int
	nextID  uint64
	history []porcupine.Operation
	answers int
	// pause is the average number of steps between two calls of a client. With few
	// writes, a partitioned follower stays electable for a long time.
	pause int
}

func newSimClients(w *simCluster) *simClients {
	c := &simClients{w: w, current: make([]*simOp, simClientCount), pause: simFastPause}
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
		if c.w.now-op.call > simCallTimeout {
			c.endUnknown(op)
		}
	}
}

// begin starts an operation on a random VM, if its process considers itself the
// leader.
func (c *simClients) begin(i int) {
	p := c.w.vms[c.w.rng.IntN(len(c.w.vms))].proc
	if p == nil || !p.isLeader {
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

// enqueue makes a process handle a call when it next runs. A frozen process
// handles the call when it resumes, before or after its next tick.
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
	op.appended = true
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

// answerFor returns a function that answers the caller of an applied entry, or nil if
// no caller waits. The process calls it at the end of the step.
func (c *simClients) answerFor(p *simProcess, e Entry, ok bool) func() {
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

// drop discards an operation that certainly took no effect.
func (c *simClients) drop(op *simOp) {
	op.open = false
	c.current[op.client] = nil
}

func (c *simClients) finish(op *simOp, r simResult) {
	c.record(op, r, c.w.now)
	c.answers++
}

// endUnknown ends an operation without an answer. A command that was appended may
// still take effect, so the history records it.
func (c *simClients) endUnknown(op *simOp) {
	if op.read || !op.appended {
		c.drop(op)
		return
	}
	c.w.counts["outcomes unknown"]++
	c.record(op, simResult{unknown: true}, time.Duration(math.MaxInt64))
	// The command may take effect at any later time, so the client continues
	// under a new name.
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

func (c *simClients) dropReads(p *simProcess) {
	for id, op := range p.reads {
		delete(p.reads, id)
		if op.open {
			c.drop(op)
		}
	}
}

func (c *simClients) processLost(p *simProcess) {
	c.dropReads(p)
	c.endWaitersThrough(p, math.MaxUint64)
}

// endWaitersThrough ends the wait for entries up to index, whose outcome the process
// cannot learn because of a snapshot or a crash.
func (c *simClients) endWaitersThrough(p *simProcess, index uint64) {
	for at, op := range p.waiters {
		if at <= index {
			delete(p.waiters, at)
			if op.open {
				c.endUnknown(op)
			}
		}
	}
}

// registerModel returns the sequential register specification that the history must
// satisfy.
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
