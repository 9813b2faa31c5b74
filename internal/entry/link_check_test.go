package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// stallReports collects the groups that an entry reports as stalled.
type stallReports chan string

func (r stallReports) Suspect(_ context.Context, q *noderpc.SuspectRequest) error {
	for _, g := range q.Groups {
		r <- g.Group
	}
	return nil
}

// blockedProber gets no answer in time.
type blockedProber struct{}

func (blockedProber) ProbeListener(context.Context, string) backend.ListenProbe {
	time.Sleep(400 * time.Millisecond)
	return backend.ListenProbe{State: backend.ListenUnknown}
}

// Guards against sound groups that the leader breaks because the links of some entries are down, and
// against lost groups that are reported late.
func TestSilenceOfOwnLinkIsNotHeldAgainstTheGroup(t *testing.T) {
	for name, c := range map[string]struct {
		prober     backend.ListenProber
		isReported bool
		within     time.Duration
	}{
		"peers reach the head":      {&fixedProber{state: backend.ListeningToPeers}, false, time.Second},
		"the head listens":          {&fixedProber{state: backend.Listening}, true, time.Millisecond},
		"no process listens":        {&fixedProber{state: backend.NotListening}, true, time.Millisecond},
		"the check gets no answer":  {blockedProber{}, true, linkCheckWait},
		"nobody can check the link": {nil, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _, _ := crashServer(backend.Listening)
				reports := make(stallReports, 16)
				s.o.Prober, s.o.StallReporter = c.prober, reports
				s.updateRoutes()
				k := groupEpoch{"wide-0", s.o.Follower.Board().Groups["wide-0"].Epoch}
				p := s.progress[k]
				p.event(time.Now(), true)
				open := p.ctx
				time.Sleep(p.silenceLimit + packetLossAllowance + time.Millisecond)
				s.checkProgress(time.Now())
				synctest.Wait()
				time.Sleep(c.within)
				s.checkProgress(time.Now())
				synctest.Wait()
				assert.Equal(t, len(reports) > 0, c.isReported)
				assert.Equal(t, p.isSuspended(time.Now()), c.isReported)
				assert.Assert(t, open.Err() != nil, "the attempts end and are made again")
				s.updateRoutes()
				_, isRoutable := s.dispatcher.routes["wide-0"]
				assert.Equal(t, isRoutable, !c.isReported)
				time.Sleep(time.Second)
			})
		})
	}
}
