package workload

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

const (
	// pauseBetween is the longest time between two faults.
	pauseBetween = 1500 * time.Millisecond
	// faultTime is the longest time that a passing fault lasts.
	faultTime = 2500 * time.Millisecond
	// stopTime bounds a graceful stop.
	stopTime = 60 * time.Second
)

// faulter makes faults and planned stops on processes of its own, one after the
// other in seeded order; some go on while the next ones happen.
type faulter struct {
	t       harness.T
	cluster *harness.Cluster
	nodes   []*harness.Node
	engines []*harness.Standin
	service []*harness.Standin
	random  *rand.Rand
	// alone is held for writing by a fault that no other may meet.
	alone *sync.RWMutex
	name  string
	// drained is the VM that is drained, or empty.
	drained string
	changes int
	Log     []string
}

// newFaulters divides the processes among the faulters.
func newFaulters(t harness.T, c *harness.Cluster, engines, services []*harness.Standin, o Options) []*faulter {
	alone := &sync.RWMutex{}
	all := make([]*faulter, o.Overlap)
	for i := range all {
		all[i] = &faulter{
			t: t, cluster: c, random: rand.New(rand.NewPCG(o.Seed, uint64(i))), alone: alone, name: strconv.Itoa(i),
			nodes: share(c.Nodes, i, o.Overlap), engines: share(engines, i, o.Overlap), service: share(services, i, o.Overlap),
		}
	}
	return all
}

// share returns every n-th of all from the i-th on, or the last if there are too
// few.
func share[V any](all []V, i, n int) []V {
	var out []V
	for j := i; j < len(all); j += n {
		out = append(out, all[j])
	}
	if len(out) == 0 {
		return all[len(all)-1:]
	}
	return out
}

// fault is one kind of fault. It returns when the system has its processes
// again.
type fault struct {
	name string
	do   func(context.Context, *faulter)
}

// diskLost is the one fault that no other may meet: the system bears the loss of
// one disk of three at a time.
const diskLost = "lost disk of a control VM"

var faults = []fault{
	{"bad answers of an engine", badAnswers},
	{"bad answers of an engine", badAnswers},
	{"bad answers of a service", badServiceAnswers},
	{"crash of an engine", func(_ context.Context, f *faulter) { f.engine().Fault(standin.FaultOrder{Crash: true}) }},
	{"kill of an engine", func(ctx context.Context, f *faulter) { f.killAndReturn(ctx, f.engine().Process) }},
	{"kill of a service", func(ctx context.Context, f *faulter) { f.killAndReturn(ctx, f.instance().Process) }},
	{"pause of an engine", func(ctx context.Context, f *faulter) { f.pause(ctx, f.engine().Process) }},
	{"pause of an entry", func(ctx context.Context, f *faulter) { f.pause(ctx, f.node().Process) }},
	{"kill of an entry", func(ctx context.Context, f *faulter) { f.killAndReturn(ctx, f.node().Process) }},
	{"kill of an entry", func(ctx context.Context, f *faulter) { f.killAndReturn(ctx, f.node().Process) }},
	{"stop of an entry", stopEntry},
	{"silent engine connections", func(_ context.Context, f *faulter) { f.engine().Link.Silence() }},
	{"silent service connections", func(_ context.Context, f *faulter) { f.instance().Link.Silence() }},
	{"silent peer connections", func(_ context.Context, f *faulter) { f.node().Peers.Silence() }},
	{"reset of engine connections", func(_ context.Context, f *faulter) { f.engine().Link.Reset() }},
	{"cut of an engine", func(ctx context.Context, f *faulter) { f.cut(ctx, f.engine().Link) }},
	{"one-way cut of an engine", func(ctx context.Context, f *faulter) { f.cutOneWay(ctx, f.engine().Link) }},
	{"cut of a node", func(ctx context.Context, f *faulter) { f.cut(ctx, f.node().Peers) }},
	{"delay of an engine", func(ctx context.Context, f *faulter) { f.delay(ctx, f.engine().Link) }},
	{"delay of a node", func(ctx context.Context, f *faulter) { f.delay(ctx, f.node().Peers) }},
	{"reload of a node", func(_ context.Context, f *faulter) { f.node().Reload() }},
	{"restart of nodes in turn", restartInTurn},
	{"change of a preset", changePreset},
	{diskLost, loseDisk},
	{"slow engine", slowEngine},
	{"kill of an entry and an engine together", killTogether},
	{"kill of two engines in a row", killInARow},
	{"drain of a VM", drain},
	{"leaving engine", leave},
}

func (f *faulter) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, time.Duration(f.random.Int64N(int64(pauseBetween))))
		if ctx.Err() != nil {
			return
		}
		one := faults[f.random.IntN(len(faults))]
		f.Log = append(f.Log, one.name)
		f.doOne(ctx, one)
	}
}

func (f *faulter) doOne(ctx context.Context, one fault) {
	if one.name == diskLost {
		f.alone.Lock()
		defer f.alone.Unlock()
	} else {
		f.alone.RLock()
		defer f.alone.RUnlock()
	}
	one.do(ctx, f)
}

// heal ends all faults.
func (f *faulter) heal() {
	for _, s := range append(append([]*harness.Standin(nil), f.engines...), f.service...) {
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

func (f *faulter) engine() *harness.Standin   { return f.engines[f.random.IntN(len(f.engines))] }
func (f *faulter) instance() *harness.Standin { return f.service[f.random.IntN(len(f.service))] }
func (f *faulter) node() *harness.Node        { return f.nodes[f.random.IntN(len(f.nodes))] }

func (f *faulter) lasting() time.Duration { return time.Duration(f.random.Int64N(int64(faultTime))) }

func (f *faulter) killAndReturn(ctx context.Context, p *harness.Process) {
	p.Kill()
	wait(ctx, f.lasting())
	p.Start()
}

func killTogether(ctx context.Context, f *faulter) {
	n, e := f.node(), f.engine()
	n.Kill()
	e.Kill()
	wait(ctx, f.lasting())
	n.Start()
	e.Start()
}

// killInARow kills a second engine right after the first is back, in the
// middle of the repair.
func killInARow(ctx context.Context, f *faulter) {
	f.killAndReturn(ctx, f.engine().Process)
	f.killAndReturn(ctx, f.engine().Process)
}

func (f *faulter) pause(ctx context.Context, p *harness.Process) {
	p.Pause()
	wait(ctx, f.lasting())
	p.Resume()
}

// longestDelay is over the timeouts of calls between processes.
const longestDelay = 900 * time.Millisecond

func (f *faulter) delay(ctx context.Context, l *harness.Link) {
	l.Delay(time.Duration(f.random.Int64N(int64(longestDelay))))
	wait(ctx, f.lasting())
	l.Delay(0)
}

func restartInTurn(_ context.Context, f *faulter) {
	for _, n := range f.nodes {
		f.stop(n)
	}
}

func changePreset(_ context.Context, f *faulter) {
	f.change(blackboard.ConfigChange{Presets: []blackboard.Preset{{
		Name: "soak-" + f.name, ClassWorth: map[string]int{"batch": f.random.IntN(50)},
	}}})
}

// voterTime bounds the wait until a control VM whose disk was lost votes again.
const voterTime = 60 * time.Second

// loseDisk lets a control VM come back with an empty disk, and waits until it votes
// under its new identity: the loss of a second disk before is more than three
// voters bear.
func loseDisk(_ context.Context, f *faulter) {
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

// voter returns the identity under which a node votes, if it does.
func (f *faulter) voter(n *harness.Node) (id string, ok bool) {
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

func (f *faulter) awaitVoter(n *harness.Node, before string) {
	for end := time.Now().Add(voterTime); time.Now().Before(end); time.Sleep(pauseBetween / 10) {
		if id, ok := f.voter(n); ok && id != before {
			return
		}
	}
	f.t.Errorf("%s, whose disk was lost, does not vote again within %s", n.Spec.Name, voterTime)
}

func stopEntry(_ context.Context, f *faulter) { f.stop(f.node()) }

func (f *faulter) stop(n *harness.Node) {
	n.Terminate()
	if status := n.Wait(stopTime); status != 0 {
		f.t.Errorf("graceful stop of %s ended with status %d", n.Spec.Name, status)
	}
	n.Start()
}

func (f *faulter) cut(ctx context.Context, l *harness.Link) {
	l.Cut()
	wait(ctx, f.lasting())
	l.Heal()
}

func (f *faulter) cutOneWay(ctx context.Context, l *harness.Link) {
	l.CutOneWay(harness.Direction(f.random.IntN(2)))
	wait(ctx, f.lasting())
	l.Heal()
}

var answerFaults = []standin.StreamFault{
	standin.StreamCut, standin.StreamCrossed, standin.StreamDoubled, standin.StreamSkipped, standin.StreamShort,
	standin.StreamMalformed, standin.StreamOverlong, standin.StreamStalled, standin.StreamLate,
}

func badAnswers(_ context.Context, f *faulter) {
	kind := answerFaults[f.random.IntN(len(answerFaults))]
	f.engine().Fault(standin.FaultOrder{Faults: standin.Faults{
		Stream: standin.StreamFaults{
			Kind: kind, After: f.random.IntN(8), Answers: 1 + f.random.IntN(5), DelayMillis: 300,
		},
		IgnoreCancel: f.random.IntN(3) == 0,
	}})
}

func badServiceAnswers(_ context.Context, f *faulter) {
	kinds := []standin.StreamFault{standin.StreamCut, standin.StreamStalled, standin.StreamLate}
	f.instance().Fault(standin.FaultOrder{Faults: standin.Faults{Stream: standin.StreamFaults{
		Kind: kinds[f.random.IntN(len(kinds))], After: f.random.IntN(20), Answers: 1 + f.random.IntN(3), DelayMillis: 500,
	}}})
}

func slowEngine(_ context.Context, f *faulter) {
	f.engine().Fault(standin.FaultOrder{Faults: standin.Faults{SlowFactor: 5}})
}

func leave(ctx context.Context, f *faulter) {
	e := f.engine()
	leaving, staying := true, false
	e.Fault(standin.FaultOrder{Leaving: &leaving})
	wait(ctx, f.lasting())
	e.Fault(standin.FaultOrder{Leaving: &staying})
}

// drain drains a VM, or gives the drained one back.
func drain(_ context.Context, f *faulter) {
	if f.drained != "" {
		f.change(blackboard.ConfigChange{UndrainVMs: []string{f.drained}})
		f.drained = ""
		return
	}
	f.drained = f.engine().ID
	f.change(blackboard.ConfigChange{DrainVMs: []string{f.drained}})
}

func (f *faulter) change(c blackboard.ConfigChange) {
	f.changes++
	c.ChangeID = "random-" + f.name + "-" + strconv.Itoa(f.changes)
	f.cluster.Change(c)
}
