package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
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

// Guards against callers that wait for their deadline for a backend server that the board shows as restarted.
func TestLastAttemptEndsOnceItsServerHasRestarted(t *testing.T) {
	for name, begins := range map[string]bool{"answer has begun": true, "no byte of the answer": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSoundSystem(t, 0)
				c := x.call("single")
				if begins {
					x.servers.last().send()
				}
				id := x.servers.last().group()
				x.changeGroups([]string{id}, func(b *blackboard.Board, g blackboard.Group) {
					g.State = blackboard.Broken
					b.Groups[id] = g
					b.VMs[id] = blackboard.VM{ID: id, Incarnation: "next", Liveness: blackboard.Alive}
				})
				x.apply()
				x.pass(5 * time.Second)
				if n := len(x.servers.open()); n > 0 {
					t.Errorf("%d attempts still wait for a backend server that is gone", n)
				}
				x.finish()
				<-c.done
			})
		})
	}
}
