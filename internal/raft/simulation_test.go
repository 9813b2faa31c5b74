package raft

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of a simulated world. Clocks differ by up to simClockDrift in rate,
// which the lease margin of an eighth covers.
const (
	simStep            = 10 * time.Millisecond
	simElectionTimeout = time.Second
	simHeartbeat       = simElectionTimeout / 5
	simClockDrift      = 0.05
	simReplaceAfter    = 3 * simElectionTimeout
	simCompactEvery    = 24
	simCompactKeep     = 6
)

// simDisk is what one VM's data folder holds; a nil disk is an empty folder.
type simDisk struct {
	id    NodeID
	saved Saved
}

// simVM is one machine: it outlives its process and its disk.
type simVM struct {
	name string
	disk *simDisk
	proc *simProcess
	// rate and offset make this machine's clock from the world's.
	rate   float64
	offset time.Duration
	upAt   time.Duration
}

// simProcess is one run of a replica on a VM. It persists, sends and applies
// as the replica package does; a sync takes time, and a crash may come in it.
type simProcess struct {
	vm    *simVM
	id    NodeID
	node  *Node
	state simState
	inbox []Message
	calls []func()
	// pending is a step whose sync is under way until syncDone.
	pending  *Ready
	syncDone time.Duration
	nextTick time.Duration
	frozen   time.Duration

	waiters map[uint64]*simOp
	reads   map[uint64]*simOp

	// What the process last published, which readers see also while it is frozen.
	lease    time.Duration
	fastRead bool
	term     uint64
	lead     bool
}

// simState is a state machine of a few registers.
type simState map[string]int

type simCommand struct {
	Key    string
	Value  int
	Expect int
	CAS    bool
}

func (s simState) apply(data []byte) bool {
	var c simCommand
	if err := json.Unmarshal(data, &c); err != nil {
		panic(err)
	}
	if c.CAS && s[c.Key] != c.Expect {
		return false
	}
	s[c.Key] = c.Value
	return true
}

type simMessage struct {
	at time.Duration
	m  Message
}

// simFaults switches faults and guards; the zero value is a quiet world.
type simFaults struct {
	loss, double, slow, slowSync float64
	// crash, cut, freeze, wipe, remove and transfer are chances for each step.
	crash, cut, freeze, wipe, remove, transfer float64
	// voterCrash is the chance that a node crashes right after it voted, and
	// leaderCrash the chance for each step that a leader does.
	voterCrash, leaderCrash float64
	// deafen is the chance for each step that a leader and one other VM stop
	// hearing each other.
	deafen float64
}

// eagerSource draws small numbers only.
type eagerSource struct {
	rand.Source
	shift int
}

// Uint64 returns the next number.
func (s eagerSource) Uint64() uint64 { return s.Source.Uint64() >> s.shift }

// world is a whole simulated cluster under one seed.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	vms    []*simVM
	wanted int
	wire   []simMessage
	// cut holds the directions, by VM name, in which nothing passes.
	cut map[[2]string]time.Duration
	// lastLoss is when a disk was last lost.
	lastLoss time.Duration
	// eager halves the spread of the election timeouts that often, so that
	// nodes start elections just when they may, and against each other.
	eager     int
	tickEvery time.Duration
	faults    simFaults
	owner     map[NodeID]string
	clients   *simClients
	check     *simChecker
	counts    map[string]int
}

func newWorld(seed uint64, vms, wanted int) *world {
	w := &world{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		now:    time.Hour,
		wanted: wanted,
		cut:    map[[2]string]time.Duration{},
		owner:  map[NodeID]string{},
		counts: map[string]int{},
	}
	w.check = newSimChecker(w)
	w.clients = newSimClients(w)
	w.eager = int(seed % 4 * 2)
	w.tickEvery = time.Duration(1+seed%2*4) * simStep
	for i := range vms {
		vm := &simVM{
			name:   string(rune('a' + i)),
			rate:   w.clockRate(),
			offset: time.Duration(w.rng.Int64N(int64(time.Hour))),
		}
		w.vms = append(w.vms, vm)
		w.start(vm)
	}
	w.found(w.vms[0])
	return w
}

// clockRate is any within the drift, or one of the extremes.
func (w *world) clockRate() float64 {
	drift := simClockDrift * (2*w.rng.Float64() - 1)
	if w.rng.IntN(2) == 0 {
		drift = math.Copysign(simClockDrift, drift)
	}
	return 1 + drift
}

func (vm *simVM) clock(now time.Duration) time.Duration {
	return vm.offset + time.Duration(float64(now)*vm.rate)
}

// found writes what the replica's founding writes.
func (w *world) found(vm *simVM) {
	data, err := EncodeMembership(Membership{Members: []Member{{ID: vm.disk.id, VM: vm.name}}})
	if err != nil {
		panic(err)
	}
	vm.disk.saved = Saved{
		HardState: HardState{Term: 1, Commit: 1},
		Entries:   []Entry{{Term: 1, Index: 1, Type: EntryMembership, Data: data}},
	}
	w.start(vm)
}

// start runs a process on what the disk holds; an empty disk gets an identity.
func (w *world) start(vm *simVM) {
	if vm.disk == nil {
		vm.disk = &simDisk{id: NodeID(w.rng.Uint64() | 1)}
		w.owner[vm.disk.id] = vm.name
	}
	saved := vm.disk.saved
	saved.Entries = slices.Clone(saved.Entries)
	p := &simProcess{
		vm: vm, id: vm.disk.id, state: simState{},
		waiters: map[uint64]*simOp{}, reads: map[uint64]*simOp{},
	}
	if saved.Snapshot.Index > 0 {
		p.restore(saved.Snapshot.Data)
	}
	node, err := New(Config{
		ID: p.id, Group: 1, ElectionTimeout: simElectionTimeout, HeartbeatInterval: simHeartbeat,
		LeaseMargin: simElectionTimeout / 8, MaxBatchBytes: 256, MaxInflight: 64,
		Rand: rand.New(eagerSource{rand.NewPCG(w.rng.Uint64(), 2), w.eager}),
	}, saved, vm.clock(w.now))
	if err != nil {
		panic(err)
	}
	p.node = node
	p.nextTick = w.now
	vm.proc = p
}

func (p *simProcess) restore(data []byte) {
	p.state = simState{}
	if err := json.Unmarshal(data, &p.state); err != nil {
		panic(err)
	}
}

// step lets simStep pass for every process, in an order drawn anew.
func (w *world) step() {
	w.now += simStep
	w.deliver()
	order := w.rng.Perm(len(w.vms))
	for _, i := range order {
		vm := w.vms[i]
		if vm.proc == nil {
			if w.now >= vm.upAt {
				w.start(vm)
			}
			continue
		}
		if vm.proc.frozen <= w.now {
			w.run(vm.proc)
		}
	}
	w.clients.step()
	w.check.leases()
}

// run lets one process work. While a sync is under way nothing else happens,
// as in the replica's one goroutine.
func (w *world) run(p *simProcess) {
	if p.pending != nil {
		if w.now < p.syncDone {
			return
		}
		w.finish(p)
		if p.vm.proc != p {
			return
		}
	}
	now := p.vm.clock(w.now)
	// Messages, calls and ticks come in any order, also after a freeze.
	if w.rng.IntN(2) == 0 {
		w.tick(p, now)
	}
	calls := p.calls
	p.calls = nil
	for _, call := range calls {
		call()
	}
	for _, m := range p.inbox {
		w.check.message(p, m)
		p.node.Step(now, m)
	}
	p.inbox = nil
	w.tick(p, now)
	w.pump(p)
}

func (w *world) tick(p *simProcess, now time.Duration) {
	if w.now < p.nextTick {
		return
	}
	p.nextTick = w.now + w.tickEvery
	p.node.Tick(now)
	w.manage(p)
}

// pump starts the next sync, or carries out a step that needs none.
func (w *world) pump(p *simProcess) {
	for range 8 {
		r := p.node.Ready()
		w.check.node(p)
		if r.Empty() {
			break
		}
		p.pending = &r
		p.syncDone = w.now
		if r.MustPersist {
			p.syncDone += w.syncTime()
		}
		if p.syncDone > w.now {
			return
		}
		w.finish(p)
		if p.vm.proc != p {
			return
		}
	}
	w.publish(p)
}

// syncTime is short on most occasions; now and then a disk hangs.
func (w *world) syncTime() time.Duration {
	if w.rng.Float64() < w.faults.slowSync {
		return w.duration(simElectionTimeout)
	}
	return w.duration(3 * simStep)
}

// persist puts a step on the disk, all of it or nothing, as one transaction.
func (p *simProcess) persist(r *Ready) {
	s := &p.vm.disk.saved
	if r.Snapshot != nil {
		s.Snapshot = *r.Snapshot
		s.Base = Position{Index: r.Snapshot.Index, Term: r.Snapshot.Term}
		s.Entries = nil
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - s.Base.Index - 1
		s.Entries = append(s.Entries[:keep:keep], r.Entries...)
	}
	s.HardState = r.HardState
}

// finish ends a sync: then, and only then, messages leave and entries apply.
func (w *world) finish(p *simProcess) {
	r := p.pending
	p.pending = nil
	if r.MustPersist {
		p.persist(r)
	}
	w.publish(p)
	for _, m := range r.Messages {
		w.send(m)
		if m.Type == MessageVoteReply && !m.Reject && w.rng.Float64() < w.faults.voterCrash {
			w.crash(p.vm)
			p.vm.upAt = w.now
			return
		}
	}
	if r.Snapshot != nil {
		p.restore(r.Snapshot.Data)
		w.clients.lostBelow(p, r.Snapshot.Index)
	}
	var done []func()
	for _, e := range r.Committed {
		w.check.applied(p, e)
		ok := true
		if e.Type == EntryCommand && len(e.Data) > 0 {
			ok = p.state.apply(e.Data)
		}
		if f := w.clients.applied(p, e, ok); f != nil {
			done = append(done, f)
		}
	}
	p.node.Advance(*r)
	w.compact(p)
	w.publish(p)
	for _, f := range done {
		f()
	}
	for _, read := range r.Reads {
		w.clients.readConfirmed(p, read)
	}
}

func (w *world) compact(p *simProcess) {
	s := p.node.Status()
	if s.Applied-s.SnapshotIndex < simCompactEvery {
		return
	}
	data, err := json.Marshal(p.state)
	if err != nil {
		panic(err)
	}
	snapshot, base, err := p.node.Compact(data, simCompactKeep)
	if err != nil {
		panic(err)
	}
	saved := &p.vm.disk.saved
	saved.Entries = slices.Clone(saved.Entries[base.Index-saved.Base.Index:])
	saved.Snapshot = snapshot
	saved.Base = base
	w.counts["snapshots"]++
}

func (w *world) publish(p *simProcess) {
	s := p.node.Status()
	p.lease = p.node.LeaseExpiry()
	p.fastRead = s.OwnTermCommitted && s.Applied >= s.Commit
	p.term = s.Term
	p.lead = s.Role == RoleLeader
	if !p.lead {
		w.clients.leadershipLost(p)
	}
}

func (w *world) String() string {
	text := fmt.Sprintf("at %v\n", w.now-time.Hour)
	for _, vm := range w.vms {
		if vm.proc == nil {
			text += fmt.Sprintf("  %s down\n", vm.name)
			continue
		}
		s := vm.proc.node.Status()
		text += fmt.Sprintf("  %s %x %v term %d leader %x log %d..%d commit %d members %d voters %d removed %v\n",
			vm.name, uint64(s.ID), s.Role, s.Term, uint64(s.Leader), s.FirstIndex, s.LastIndex, s.Commit,
			len(s.Membership.Members), len(s.Membership.Voters()), s.Removed)
		for _, m := range s.Membership.Members {
			text += fmt.Sprintf("      member %x of %s learner %v\n", uint64(m.ID), m.VM, m.Learner)
		}
	}
	return text
}
