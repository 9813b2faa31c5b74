package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// Guards against orders to an engine within the time that it stated in Retry-After when it refused
// one, and against a new start of the engine that has to wait for the old one's back-off.
func TestOrdersWaitForTheBackoffOfAnEngine(t *testing.T) {
	v := View{Memory: NewMemory(simStart, 0), Board: blackboard.New(), LeaseUntil: simStart.Add(time.Hour)}
	vm := blackboard.VM{ID: "vm"}
	plan := func(at time.Duration, kind backend.OrderKind, incarnation string) *Actions {
		a := &Actions{}
		send(v, simStart.Add(at), a, vm, incarnation, backend.Order{Kind: kind, Group: "g"})
		return a
	}
	first := plan(time.Second, backend.OrderLoad, "i")
	assert.Equal(t, len(first.Orders), 1)
	refused := &backend.CallError{Status: 503, Notice: backend.Notice{RetryAfter: 20 * time.Second}}
	v.Memory.RecordAnswer(simStart.Add(time.Second), first.Orders[0], backend.OrderReply{}, refused)

	assert.Equal(t, len(plan(20*time.Second, backend.OrderLoad, "i").Orders), 0)
	assert.Equal(t, len(plan(20*time.Second, backend.OrderRelease, "i").Orders), 0)
	assert.Equal(t, len(plan(21*time.Second, backend.OrderLoad, "i").Orders), 1)
	v.Memory.RecordAnswer(simStart.Add(22*time.Second), first.Orders[0], backend.OrderReply{}, refused)
	assert.Equal(t, len(plan(23*time.Second, backend.OrderLoad, "restarted").Orders), 1)
}
