package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// Guards against an attempt that ends although its backend server may still send: it is silent, dead, unknown, or its group is broken.
func TestServerThatMayStillSendKeepsItsLastAttempt(t *testing.T) {
	for name, vm := range map[string]blackboard.VM{
		"unknown": {}, "dead": {Incarnation: "same", Liveness: blackboard.Dead}, "leaving": {Incarnation: "same", Liveness: blackboard.Alive, Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSoundSystem(t, 0)
				c := x.begin("single")
				id := x.servers.last().group()
				x.changeGroups([]string{id}, func(b *blackboard.Board, g blackboard.Group) {
					g.State = blackboard.Broken
					b.Groups[id] = g
					if vm.Incarnation != "" {
						vm.ID, vm.Incarnation = id, "i-"+id
						b.VMs[id] = vm
					}
				})
				x.apply()
				x.pass(5 * time.Second)
				x.finish(c)
			})
		})
	}
}

// restartHeads makes the board show all heads in new incarnations, and their groups broken.
func (x *soundSystem) restartHeads() {
	x.changeGroups(allGroups, func(b *blackboard.Board, g blackboard.Group) {
		g.State = blackboard.Broken
		b.Groups[g.ID] = g
		b.VMs[g.ID] = blackboard.VM{ID: g.ID, Incarnation: "next", Liveness: blackboard.Alive}
	})
	x.apply()
}

// Guards against an answer that lies ready and is dropped, as its backend server has restarted since it sent it.
func TestAnswerOfARestartedServerIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 0)
		callers := append(x.beginMany("single", 4), x.beginMany("stream", 4)...)
		x.restartHeads()
		for range streamEvents - 2 {
			x.pass(readyAnswerTime / 2)
			for _, r := range x.servers.open() {
				r.send()
			}
		}
		x.finish(callers...)
	})
}

// Guards against attempts on a plain instance that outlive it, and against those of others that end with it.
func TestPlainInstanceIsReplacedByItsNextIncarnation(t *testing.T) {
	b := blackboard.New()
	b.Services["a"] = blackboard.ServiceInstance{Incarnation: "2"}
	b.VMs["a"] = blackboard.VM{Incarnation: "1"}
	assert.Assert(t, route{head: "a", incarnation: "1"}.process().isReplaced(b))
	assert.Assert(t, !route{head: "a", incarnation: "2"}.process().isReplaced(b))
	assert.Assert(t, !route{head: "a", group: "g", incarnation: "1"}.process().isReplaced(b))
	assert.Assert(t, !route{head: "b", incarnation: "1"}.process().isReplaced(b))
}
