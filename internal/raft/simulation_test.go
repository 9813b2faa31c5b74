package raft

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of a simulated cluster. The rate of each clock is off by up to
// simClockDrift. The lease margin of an eighth of the election timeout covers that.
// simCompactEvery and simCompactKeep count log entries.
const (
	simStep            = 10 * time.Millisecond
	simElectionTimeout = time.Second
	simHeartbeat       = simElectionTimeout / 5
	simClockDrift      = 0.05
	simReplaceAfter    = 3 * simElectionTimeout
	simCompactEvery    = 24
	simCompactKeep     = 6
)

// simDisk is the content of a VM's data folder. A nil disk is an empty folder.
type simDisk struct {
	id    NodeID
	saved PersistedState
}

// simVM is one machine, which outlives its process and its disk.
type simVM struct {
	name string
	// dataCentre is another one for each VM, except that a successor starts where the lost VM was.
	dataCentre string
	disk       *simDisk
	proc       *simProcess
	// rate and offset derive this machine's clock from the simulated time.
	rate   float64
	offset time.Duration
	// restartAt is the time at which a crashed process starts again.
	restartAt time.Duration
	// stalledUntil is the time until which the disk completes no sync.
	stalledUntil time.Duration
}

// simProcess is one run of a replica on a VM. It persists, sends and applies as the
// replica package does. A sync takes time, and a crash may interrupt it.
type simProcess struct {
	vm    *simVM
	id    NodeID
	node  *Node
	state simState
	inbox []Message
	calls []func()
	// pending is the step whose sync is in progress until syncDone.
	pending  *Ready
	syncDone time.Duration
	nextTick time.Duration
	// frozenUntil is the time until which the process is suspended.
	frozenUntil time.Duration

	waiters map[uint64]*simOp
	reads   map[uint64]*simOp

	// The fields below hold the state that the process last published. Readers see
	// it even while the process is frozen.
	//
	// lease is the end of the lease on the VM's clock. fastRead is set if a read
	// under the lease would be current.
	lease    time.Duration
	fastRead bool
	term     uint64
	isLeader bool
}

// simState is a replicated state machine of a few registers.
type simState map[string]int

// simCommand sets a register to Value. With CAS, it does so only if the register holds
// Expect.
type simCommand struct {
	Key    string
	Value  int
	Expect int
	CAS    bool
}

// apply applies an encoded simCommand and reports whether it took effect.
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

// simMessage is a message in flight, due for delivery at a simulated time.
type simMessage struct {
	at time.Duration
	m  Message
}

// simFaults holds the probabilities of faults. The zero value has no faults.
type simFaults struct {
	// loss, duplicate and delay are probabilities per message, slowSync per sync.
	loss, duplicate, delay, slowSync float64
	// crash, cut, freeze, diskLoss, remove and transfer are probabilities per step.
	crash, cut, freeze, diskLoss, remove, transfer float64
	// voterCrash is the probability that a node crashes right after it voted.
	// leaderCrash is the probability per step that a leader crashes.
	voterCrash, leaderCrash float64
	// leaderLinkCut is the probability per step that the links between a leader and one
	// other VM are cut.
	leaderLinkCut float64
}

// smallNumberSource is a random source of small numbers only. It shifts each number right
// by shift bits.
type smallNumberSource struct {
	rand.Source
	shift int
}

// Uint64 returns the next number, shifted right.
func (s smallNumberSource) Uint64() uint64 { return s.Source.Uint64() >> s.shift }

// simCluster is a complete simulated cluster, driven by one seed.
type simCluster struct {
	rng    *rand.Rand
	now    time.Duration
	vms    []*simVM
	wanted int
	// replaceAfter is Config.ReplaceAfter of each process.
	replaceAfter time.Duration
	inFlight     []simMessage
	// cutUntil holds, by sender and receiver VM, the time until which a link is cut.
	cutUntil map[[2]string]time.Duration
	// lastLoss is the time at which a disk was last lost.
	lastLoss time.Duration
	// electionSpreadShift is the number of times that the random spread of election
	// timeouts is halved. A small spread makes nodes start elections as soon as they
	// may, and against each other.
	electionSpreadShift int
	tickEvery           time.Duration
	faults              simFaults
	// owner maps each identity to the name of its VM.
	owner   map[NodeID]string
	clients *simClients
	checker *simChecker
	counts  map[string]int
}

func newSimCluster(seed uint64, vms, wanted int) *simCluster {
	w := &simCluster{
		rng:          rand.New(rand.NewPCG(seed, 1)),
		now:          time.Hour,
		wanted:       wanted,
		replaceAfter: simReplaceAfter,
		cutUntil:     map[[2]string]time.Duration{},
		owner:        map[NodeID]string{},
		counts:       map[string]int{},
	}
	w.checker = newSimChecker(w)
	w.clients = newSimClients(w)
	w.electionSpreadShift = int(seed % 4 * 2)
	w.tickEvery = time.Duration(1+seed%2*4) * simStep
	for i := range vms {
		vm := &simVM{
			name:       string(rune('a' + i)),
			dataCentre: string(rune('a' + i)),
			rate:       w.clockRate(),
			offset:     time.Duration(w.rng.Int64N(int64(time.Hour))),
		}
		w.vms = append(w.vms, vm)
		w.start(vm)
	}
	w.bootstrap(w.vms[0])
	return w
}

// clockRate returns a random rate within the drift, or one of the two extremes.
func (w *simCluster) clockRate() float64 {
	drift := simClockDrift * (2*w.rng.Float64() - 1)
	if w.rng.IntN(2) == 0 {
		drift = math.Copysign(simClockDrift, drift)
	}
	return 1 + drift
}

func (vm *simVM) clock(now time.Duration) time.Duration {
	return vm.offset + time.Duration(float64(now)*vm.rate)
}

// bootstrap bootstraps a group of one member on vm, as the replica package does.
func (w *simCluster) bootstrap(vm *simVM) {
	data, err := EncodeMembership(Membership{Members: []Member{{ID: vm.disk.id, VM: vm.name, DataCentre: vm.dataCentre}}})
	if err != nil {
		panic(err)
	}
	vm.disk.saved = PersistedState{
		HardState: HardState{Term: 1, Commit: 1},
		Entries:   []Entry{{Term: 1, Index: 1, Type: EntryMembership, Data: data}},
	}
	w.start(vm)
}

// start starts a process with the state on the disk. An empty disk gets a new
// identity.
func (w *simCluster) start(vm *simVM) {
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
		LeaseMargin: simElectionTimeout / 8, ReplaceAfter: w.replaceAfter, MaxBatchBytes: 256, MaxInflight: 64,
		Rand: rand.New(smallNumberSource{rand.NewPCG(w.rng.Uint64(), 2), w.electionSpreadShift}),
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

// step advances the time by simStep and runs the processes in random order.
func (w *simCluster) step() {
	w.now += simStep
	w.deliver()
	order := w.rng.Perm(len(w.vms))
	for _, i := range order {
		vm := w.vms[i]
		if vm.proc == nil {
			if w.now >= vm.restartAt {
				w.start(vm)
			}
			continue
		}
		if vm.proc.frozenUntil <= w.now {
			w.runProcess(vm.proc)
		}
	}
	w.clients.step()
	w.checker.checkLeases()
}

// runProcess lets one process work. The process does nothing else during a sync, as
// in the replica package, which uses one goroutine.
func (w *simCluster) runProcess(p *simProcess) {
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
	// A tick may come before or after calls and messages, also after a freeze.
	if w.rng.IntN(2) == 0 {
		w.tick(p, now)
	}
	calls := p.calls
	p.calls = nil
	for _, call := range calls {
		call()
	}
	for _, m := range p.inbox {
		w.checker.checkVote(p, m)
		p.node.Step(now, m)
	}
	p.inbox = nil
	w.tick(p, now)
	w.processReady(p)
}

func (w *simCluster) tick(p *simProcess, now time.Duration) {
	if w.now < p.nextTick {
		return
	}
	p.nextTick = w.now + w.tickEvery
	p.node.Tick(now)
	w.manageMembership(p)
}

// processReady starts the sync of the next step, or finishes the step if it needs none.
func (w *simCluster) processReady(p *simProcess) {
	for range 8 {
		r := p.node.Ready()
		w.checker.checkLeader(p)
		if r.IsEmpty() {
			break
		}
		p.pending = &r
		p.syncDone = w.now
		if r.MustPersist {
			p.syncDone = max(p.syncDone+w.syncTime(), p.vm.stalledUntil)
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

// syncTime returns the duration of a sync. It is usually short, but a disk may hang.
func (w *simCluster) syncTime() time.Duration {
	if w.rng.Float64() < w.faults.slowSync {
		return w.duration(simElectionTimeout)
	}
	return w.duration(3 * simStep)
}

// persist writes a step to the disk in one atomic transaction.
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

// finish ends a sync. Only then does the process send messages and apply entries.
func (w *simCluster) finish(p *simProcess) {
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
			p.vm.restartAt = w.now
			return
		}
	}
	if r.Snapshot != nil {
		p.restore(r.Snapshot.Data)
		w.clients.endWaitersThrough(p, r.Snapshot.Index)
	}
	var done []func()
	for _, e := range r.Committed {
		w.checker.checkApplied(p, e)
		ok := true
		if e.Type == EntryCommand && len(e.Data) > 0 {
			ok = p.state.apply(e.Data)
		}
		if f := w.clients.answerFor(p, e, ok); f != nil {
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

func (w *simCluster) compact(p *simProcess) {
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

// publish updates the state that readers see.
func (w *simCluster) publish(p *simProcess) {
	s := p.node.Status()
	p.lease = p.node.LeaseExpiry()
	p.fastRead = s.OwnTermCommitted && s.Applied >= s.Commit
	p.term = s.Term
	p.isLeader = s.Role == RoleLeader
	if !p.isLeader {
		w.clients.dropReads(p)
	}
}

func (w *simCluster) String() string {
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
