package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// pauseOfOne is a pause of a stream after which its entry looks for another attempt.
const pauseOfOne = 1350 * time.Millisecond

// pauseFirst lets the first run pause while all others go on.
func (x *soundSystem) pauseFirst() { x.passWithEvents(x.servers.open()[1:], pauseOfOne) }

// Guards against a sound answer that is cut for a pause as its entry has lost the lease and may send no other attempt.
func TestPauseWithoutALeaseEndsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 8)
		x.loseLease()
		x.pauseFirst()
		x.finish(callers...)
	})
}

// Guards against a sound answer that is cut for a pause as all other backend servers are in a back-off.
func TestPauseWithAllOthersInABackoffEndsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 8)
		for _, id := range allGroups {
			x.s.dispatcher.recordBackoff(time.Now(), "i-"+id, time.Now().Add(time.Minute))
		}
		x.pauseFirst()
		x.finish(callers...)
	})
}

// refusingServers take no request once isRefusing is set.
type refusingServers struct {
	*soundServers
	isRefusing bool
}

func (r *refusingServers) Forward(ctx context.Context, c backend.ForwardCall) (*backend.ForwardAnswer, error) {
	if r.isRefusing {
		return &backend.ForwardAnswer{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotRun: true}, nil
	}
	return r.soundServers.Forward(ctx, c)
}

// Guards against a sound answer that is cut for a pause as the backend server of its next attempt is full and refuses it.
func TestPauseWithAllOthersRefusingEndsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		servers := &refusingServers{soundServers: x.servers}
		x.s.o.Forwarder = servers
		callers := x.beginMany("stream", 8)
		servers.isRefusing = true
		x.pauseFirst()
		x.finish(callers...)
	})
}
