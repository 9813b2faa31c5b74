package workload

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
	"github.com/citronstep/citronstep/test/serverlinks"
)

const (
	// maxFaultPause is the longest time between two faults.
	maxFaultPause = 1500 * time.Millisecond
	// maxFaultDuration is the longest time that a temporary fault lasts.
	maxFaultDuration = 2500 * time.Millisecond
	// stopTimeout bounds a graceful stop.
	stopTimeout = 60 * time.Second
)

// faultInjector injects faults and planned stops into its own part of the processes, one after
// the other in seeded order. Some faults last while the next ones happen.
type faultInjector struct {
	t        harness.T
	cluster  *harness.Cluster
	nodes    []*harness.Node
	engines  []*harness.Standin
	services []*harness.Standin
	random   *rand.Rand
	// exclusive is held for writing by a fault that must not overlap with any other.
	exclusive *sync.RWMutex
	name      string
	// drained is the VM that is currently drained, or empty.
	drained string
	changes int
	// Log holds the names of the injected faults in order.
	Log []string
	// disturbances holds when faults concerned processes of the system.
	disturbances []interval
}

// newFaultInjectors divides the processes among the injectors.
func newFaultInjectors(t harness.T, c *harness.Cluster, engines, services []*harness.Standin, o Options) []*faultInjector {
	exclusive := &sync.RWMutex{}
	all := make([]*faultInjector, o.ConcurrentFaults)
	for i := range all {
		all[i] = &faultInjector{
			t: t, cluster: c, random: rand.New(rand.NewPCG(o.Seed, uint64(i))), exclusive: exclusive, name: strconv.Itoa(i),
			nodes: everyNth(c.Nodes, i, o.ConcurrentFaults), engines: everyNth(engines, i, o.ConcurrentFaults), services: everyNth(services, i, o.ConcurrentFaults),
		}
	}
	return all
}

// everyNth returns every n-th element of all from the i-th on, or the last element if there are
// too few.
func everyNth[V any](all []V, i, n int) []V {
	var out []V
	for j := i; j < len(all); j += n {
		out = append(out, all[j])
	}
	if len(out) == 0 {
		return all[len(all)-1:]
	}
	return out
}

// fault is one kind of fault. Its function returns when all processes of the system run again.
type fault struct {
	name   string
	inject func(context.Context, *faultInjector)
}

// disturbsNodes reports whether the fault concerns processes of the system, or their state or
// links.
func (f fault) disturbsNodes() bool {
	for _, part := range []string{"entry", "node", "peer", "control VM", "preset"} {
		if strings.Contains(f.name, part) {
			return true
		}
	}
	return false
}

// diskLost is the one fault that must not overlap with any other: the system can sustain the loss
// of one disk of three at a time.
const diskLost = "lost disk of a control VM"

var faults = []fault{
	{"bad answers of an engine", badAnswers},
	{"bad answers of an engine", badAnswers},
	{"bad answers of a service", badServiceAnswers},
	{"crash of an engine", func(_ context.Context, f *faultInjector) { f.engine().Fault(standin.FaultOrder{Crash: true}) }},
	{"kill of an engine", func(ctx context.Context, f *faultInjector) { f.killAndRestart(ctx, f.engine().Process) }},
	{"kill of a service", func(ctx context.Context, f *faultInjector) { f.killAndRestart(ctx, f.instance().Process) }},
	{"pause of an engine", func(ctx context.Context, f *faultInjector) { f.pause(ctx, f.engine().Process) }},
	{"pause of an entry", func(ctx context.Context, f *faultInjector) { f.pause(ctx, f.node().Process) }},
	{"kill of an entry", func(ctx context.Context, f *faultInjector) { f.killAndRestart(ctx, f.node().Process) }},
	{"kill of an entry", func(ctx context.Context, f *faultInjector) { f.killAndRestart(ctx, f.node().Process) }},
	{"stop of an entry", stopEntry},
	{"silent engine connections", func(_ context.Context, f *faultInjector) { f.engine().Link.Silence() }},
	{"silent service connections", func(_ context.Context, f *faultInjector) { f.instance().Link.Silence() }},
	{"silent peer connections", func(_ context.Context, f *faultInjector) { f.node().Peers.Silence() }},
	{"reset of engine connections", func(_ context.Context, f *faultInjector) { f.engine().Link.Reset() }},
	{"cut of an engine", func(ctx context.Context, f *faultInjector) { f.cut(ctx, f.engine().Link) }},
	{"one-way cut of an engine", func(ctx context.Context, f *faultInjector) { f.cutOneWay(ctx, f.engine().Link) }},
	{"cut of a node", func(ctx context.Context, f *faultInjector) { f.cut(ctx, f.node().Peers) }},
	{"delay of an engine", func(ctx context.Context, f *faultInjector) { f.delay(ctx, f.engine().Link) }},
	{"delay of a node", func(ctx context.Context, f *faultInjector) { f.delay(ctx, f.node().Peers) }},
	{"entry cut off from backend servers", cutServers},
	{"entry cut off from backend servers", cutServers},
	{"reload of a node", func(_ context.Context, f *faultInjector) { f.node().Reload() }},
	{"restart of nodes in turn", restartInTurn},
	{"change of a preset", changePreset},
	{diskLost, loseDisk},
	{"slow engine", slowEngine},
	{"kill of an entry and an engine together", killTogether},
	{"kill of two engines in a row", killInARow},
	{"drain of a VM", drain},
	{"leaving engine", leave},
}

// cutServers cuts an entry off from all backend servers in one of several ways.
func cutServers(ctx context.Context, f *faultInjector) {
	n := f.node()
	ways := serverlinks.Names()
	n.CutServers(ways[f.random.IntN(len(ways))])
	defer n.HealServers()
	wait(ctx, time.Duration(f.random.Int64N(int64(maxFaultDuration))))
}

func (f *faultInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, time.Duration(f.random.Int64N(int64(maxFaultPause))))
		if ctx.Err() != nil {
			return
		}
		next := faults[f.random.IntN(len(faults))]
		f.Log = append(f.Log, next.name)
		began := time.Now()
		f.inject(ctx, next)
		if next.disturbsNodes() {
			f.disturbances = append(f.disturbances, interval{began, time.Now()})
		}
	}
}

func (f *faultInjector) inject(ctx context.Context, one fault) {
	if one.name == diskLost {
		f.exclusive.Lock()
		defer f.exclusive.Unlock()
	} else {
		f.exclusive.RLock()
		defer f.exclusive.RUnlock()
	}
	one.inject(ctx, f)
}

// heal ends the lasting faults and the drain that the injector has begun.
func (f *faultInjector) heal() {
	for _, s := range append(append([]*harness.Standin(nil), f.engines...), f.services...) {
		s.Link.Heal()
		s.Link.Delay(0)
		leaving := false
		s.Fault(standin.FaultOrder{Leaving: &leaving})
	}
	for _, n := range f.nodes {
		n.Peers.Heal()
		n.Peers.Delay(0)
	}
	if f.drained != "" {
		f.change(blackboard.ConfigChange{UndrainVMs: []string{f.drained}})
		f.drained = ""
	}
}

func (f *faultInjector) engine() *harness.Standin { return f.engines[f.random.IntN(len(f.engines))] }
func (f *faultInjector) instance() *harness.Standin {
	return f.services[f.random.IntN(len(f.services))]
}
func (f *faultInjector) node() *harness.Node { return f.nodes[f.random.IntN(len(f.nodes))] }

func (f *faultInjector) randomDuration() time.Duration {
	return time.Duration(f.random.Int64N(int64(maxFaultDuration)))
}

func (f *faultInjector) killAndRestart(ctx context.Context, p *harness.Process) {
	p.Kill()
	wait(ctx, f.randomDuration())
	p.Start()
}

func killTogether(ctx context.Context, f *faultInjector) {
	n, e := f.node(), f.engine()
	n.Kill()
	e.Kill()
	wait(ctx, f.randomDuration())
	n.Start()
	e.Start()
}

// killInARow kills a second engine right after the first is back, during the repair.
func killInARow(ctx context.Context, f *faultInjector) {
	f.killAndRestart(ctx, f.engine().Process)
	f.killAndRestart(ctx, f.engine().Process)
}

func (f *faultInjector) pause(ctx context.Context, p *harness.Process) {
	p.Pause()
	wait(ctx, f.randomDuration())
	p.Resume()
}

// maxLinkDelay is longer than the timeouts of calls between processes.
const maxLinkDelay = 900 * time.Millisecond

func (f *faultInjector) delay(ctx context.Context, l *harness.Link) {
	l.Delay(time.Duration(f.random.Int64N(int64(maxLinkDelay))))
	wait(ctx, f.randomDuration())
	l.Delay(0)
}

func restartInTurn(_ context.Context, f *faultInjector) {
	for _, n := range f.nodes {
		f.stop(n)
	}
}

func changePreset(_ context.Context, f *faultInjector) {
	f.change(blackboard.ConfigChange{Presets: []blackboard.Preset{{
		Name: "soak-" + f.name, ClassWorth: map[string]int{"batch": f.random.IntN(50)},
	}}})
}

// voterTimeout bounds the wait until a control VM whose disk was lost votes again.
const voterTimeout = 60 * time.Second

// loseDisk restarts a control VM with an empty disk, and waits until it votes under its new
// identity. The loss of a second disk before that is more than three voters can sustain.
func loseDisk(_ context.Context, f *faultInjector) {
	for _, n := range f.nodes {
		if !n.Spec.Control {
			continue
		}
		before, known := f.voter(n)
		if !known {
			return
		}
		n.Kill()
		n.LoseData()
		n.Start()
		f.awaitVoter(n, before)
		return
	}
}

// voter returns the identity under which a node votes, and whether it votes.
func (f *faultInjector) voter(n *harness.Node) (id string, ok bool) {
	status, err := f.cluster.Status()
	if err != nil {
		return "", false
	}
	for _, r := range status.Replicas {
		if r.VM == n.Spec.Name && r.Role != "learner" {
			return r.ID, true
		}
	}
	return "", false
}

func (f *faultInjector) awaitVoter(n *harness.Node, before string) {
	for end := time.Now().Add(voterTimeout); time.Now().Before(end); time.Sleep(maxFaultPause / 10) {
		if id, ok := f.voter(n); ok && id != before {
			return
		}
	}
	f.t.Errorf("%s does not vote again within %s after the loss of its disk", n.Spec.Name, voterTimeout)
}

func stopEntry(_ context.Context, f *faultInjector) { f.stop(f.node()) }

func (f *faultInjector) stop(n *harness.Node) {
	n.Terminate()
	if status := n.Wait(stopTimeout); status != 0 {
		f.t.Errorf("graceful stop of %s: exit status %d, want 0", n.Spec.Name, status)
	}
	n.Start()
}

func (f *faultInjector) cut(ctx context.Context, l *harness.Link) {
	l.Cut()
	wait(ctx, f.randomDuration())
	l.Heal()
}

func (f *faultInjector) cutOneWay(ctx context.Context, l *harness.Link) {
	l.CutOneWay(harness.Direction(f.random.IntN(2)))
	wait(ctx, f.randomDuration())
	l.Heal()
}

var answerFaults = []standin.StreamFault{
	standin.StreamCut, standin.StreamCrossed, standin.StreamDoubled, standin.StreamSkipped, standin.StreamShort,
	standin.StreamMalformed, standin.StreamOverlong, standin.StreamStalled, standin.StreamLate,
}

func badAnswers(_ context.Context, f *faultInjector) {
	kind := answerFaults[f.random.IntN(len(answerFaults))]
	f.engine().Fault(standin.FaultOrder{Faults: standin.Faults{
		Stream: standin.StreamFaults{
			Kind: kind, After: f.random.IntN(8), Answers: 1 + f.random.IntN(5), DelayMillis: 300,
		},
		IgnoreCancel: f.random.IntN(3) == 0,
	}})
}

func badServiceAnswers(_ context.Context, f *faultInjector) {
	kinds := []standin.StreamFault{standin.StreamCut, standin.StreamStalled, standin.StreamLate}
	f.instance().Fault(standin.FaultOrder{Faults: standin.Faults{Stream: standin.StreamFaults{
		Kind: kinds[f.random.IntN(len(kinds))], After: f.random.IntN(20), Answers: 1 + f.random.IntN(3), DelayMillis: 500,
	}}})
}

func slowEngine(_ context.Context, f *faultInjector) {
	f.engine().Fault(standin.FaultOrder{Faults: standin.Faults{SlowFactor: 5}})
}

func leave(ctx context.Context, f *faultInjector) {
	e := f.engine()
	leaving, staying := true, false
	e.Fault(standin.FaultOrder{Leaving: &leaving})
	wait(ctx, f.randomDuration())
	e.Fault(standin.FaultOrder{Leaving: &staying})
}

// drain drains a VM, or ends the drain if one is drained already.
func drain(_ context.Context, f *faultInjector) {
	if f.drained != "" {
		f.change(blackboard.ConfigChange{UndrainVMs: []string{f.drained}})
		f.drained = ""
		return
	}
	f.drained = f.engine().ID
	f.change(blackboard.ConfigChange{DrainVMs: []string{f.drained}})
}

func (f *faultInjector) change(c blackboard.ConfigChange) {
	f.changes++
	c.ChangeID = "random-" + f.name + "-" + strconv.Itoa(f.changes)
	f.cluster.Change(c)
}
