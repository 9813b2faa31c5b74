package entry

import (
	"testing"
	"testing/synctest"
	"time"
)

// withoutLease is a follower that holds no lease.
type withoutLease struct{ *boardControl }

func (withoutLease) LeaseRemaining() time.Duration { return 0 }

// loseLease makes the entry lose its lease.
func (x *soundSystem) loseLease() { x.s.o.Follower = withoutLease{x.control} }

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
