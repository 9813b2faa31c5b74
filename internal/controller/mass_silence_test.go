package controller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// Guards against VMs that all count as dead one after the other because their announcements stop together, each at its own moment.
func TestSilenceOfAllVMsMakesNoneDead(t *testing.T) {
	pools := Timing{PausedAfter: 3 * time.Second, DeadAfter: 3 * time.Second}
	for name, c := range map[string]struct {
		interval time.Duration
		timing   Timing
	}{
		"default": {evidence.AnnounceInterval, Timing{}}, "pools": {1200 * time.Millisecond, pools}, "pools, short interval": {500 * time.Millisecond, pools},
	} {
		t.Run(name, func(t *testing.T) {
			v, now := announcedView(16, c.interval)
			v.Timing = c.timing
			for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
				v.Evidence.Digest(now, evidence.Cursor{})
				v.Memory.updateCoverage(v, now)
				var a Actions
				updateLiveness(v, now, &a)
				applyLiveness(v.Board, a)
			}
			assert.Equal(t, countDead(v.Board), 0, "of %d VMs, none of which is heard for 20 s", len(v.Board.VMs))
		})
	}
}

// announcedView returns a view in which some VMs have announced themselves for the last time, at moments spread over an interval.
func announcedView(vms int, interval time.Duration) (View, time.Time) {
	now := simStart
	table := evidence.NewTable("entry", 1)
	table.SetInterval(interval)
	b := blackboard.New()
	b.Entries["entry"] = blackboard.Entry{ID: "entry"}
	v := View{Board: b, Evidence: table, Memory: NewMemory(now.Add(-time.Minute), 0), Term: 3, LeaseUntil: now.Add(time.Minute)}
	for i := range vms {
		id := fmt.Sprint(i)
		b.VMs[id] = blackboard.VM{ID: id, Incarnation: "a", Liveness: blackboard.Alive}
		now = now.Add(interval / time.Duration(vms))
		table.Digest(now, evidence.Cursor{})
		v.Memory.updateCoverage(v, now)
		table.Record(now, "entry", backend.Announcement{ID: id, Kind: backend.KindEngine, Incarnation: "a", Sequence: 1})
	}
	return v, now
}

func applyLiveness(b *blackboard.Board, a Actions) {
	for _, c := range a.Commands {
		if set, ok := c.(*blackboard.SetLiveness); ok {
			vm := b.VMs[set.VM]
			vm.Liveness = set.To
			b.VMs[set.VM] = vm
		}
	}
}

func countDead(b *blackboard.Board) (dead int) {
	for _, vm := range b.VMs {
		if vm.Liveness == blackboard.Dead {
			dead++
		}
	}
	return dead
}
