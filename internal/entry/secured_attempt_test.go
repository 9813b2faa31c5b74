package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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

// Guards against a leader that never hears of groups that stay silent, as an entry takes their silence for a common one.
func TestLastingSilenceOfMostGroupsIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 0)
		reports := make(stallReports, 64)
		x.s.o.StallReporter = reports
		callers := x.beginMany("stream", 16)
		for range 10 {
			x.serveOnly(allGroups[:1], time.Second)
			for _, r := range x.servers.open() {
				// A stream has few events; new ones keep the group busy.
				if r.group() == allGroups[0] && r.sent == streamEvents-1 {
					r.finish()
					callers = append(callers, x.begin("stream"))
				}
			}
		}
		close(reports)
		reported := make(map[string]bool)
		for group := range reports {
			reported[group] = true
		}
		x.s.o.StallReporter = nil
		x.finish(callers...)
		assert.Equal(t, len(reported), 3, "groups that were silent for ten seconds and reported")
	})
}
