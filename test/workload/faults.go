package workload

import (
	"context"
	"math/rand/v2"
	"strconv"
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

// faulter makes faults and planned stops, one after the other in seeded order;
// some go on while the next ones happen.
type faulter struct {
	t       harness.T
	cluster *harness.Cluster
	engines []*harness.Standin
	service []*harness.Standin
	random  *rand.Rand
	// drained is the VM that is drained, or empty.
	drained string
	changes int
	Log     []string
}

// fault is one kind of fault. It returns when the system has its processes
// again.
type fault struct {
	name string
	do   func(context.Context, *faulter)
}

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
		one.do(ctx, f)
	}
}

// heal ends all faults.
func (f *faulter) heal() {
	for _, s := range append(append([]*harness.Standin(nil), f.engines...), f.service...) {
		s.Link.Heal()
		leaving := false
		s.Fault(standin.FaultOrder{Leaving: &leaving})
	}
	for _, n := range f.cluster.Nodes {
		n.Peers.Heal()
	}
	if f.drained != "" {
		f.change(blackboard.ConfigChange{UndrainVMs: []string{f.drained}})
		f.drained = ""
	}
}

func (f *faulter) engine() *harness.Standin   { return f.engines[f.random.IntN(len(f.engines))] }
func (f *faulter) instance() *harness.Standin { return f.service[f.random.IntN(len(f.service))] }
func (f *faulter) node() *harness.Node {
	return f.cluster.Nodes[f.random.IntN(len(f.cluster.Nodes))]
}

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

func stopEntry(_ context.Context, f *faulter) {
	n := f.node()
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
	c.ChangeID = "random-" + strconv.Itoa(f.changes)
	f.cluster.Change(c)
}
