package entry

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// leasedBoard is a follower that can lose its lease.
type leasedBoard struct {
	*boardControl
	isLost atomic.Bool
}

func (b *leasedBoard) LeaseRemaining() time.Duration {
	if b.isLost.Load() {
		return 0
	}
	return b.boardControl.LeaseRemaining()
}

// loseLease makes the entry lose its lease.
func (x *soundSystem) loseLease() { x.follower.isLost.Store(true) }

// Guards against an entry that ends answers as it loses its lease.
func TestLostLeaseEndsNoSoundAnswer(t *testing.T) {
	for name, serves := range map[string]bool{"refuses without a lease": false, "serves without a lease": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSoundSystem(t, 0)
				x.s.o.Settings.ServeWithoutLease = serves
				callers := append(x.beginMany("stream", 2), x.beginMany("single", 2)...)
				x.loseLease()
				x.apply()
				x.pass(100 * time.Millisecond)
				x.finish(callers...)
			})
		})
	}
}

// Guards against an entry that serves without a lease but does not let begun answers go on elsewhere.
func TestAnswerGoesOnElsewhereWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		x.s.o.Settings.ServeWithoutLease = true
		callers := x.beginMany("stream", 4)
		x.loseLease()
		for _, r := range x.servers.open() {
			r.breakOff()
		}
		synctest.Wait()
		x.finish(callers...)
	})
}
