package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// headOf returns the route of a group, by its head's incarnation.
func headOf(s *Server, group string) route {
	return s.loggedRoutes[group]
}

// Guards against new requests to a group whose head says in an answer that it is leaving, while no
// announcement says so.
func TestGroupIsClosedOnceItsHeadAnswersThatItIsLeaving(t *testing.T) {
	s := deafServer(servingPool(2, 4, 1, 2))
	s.updateRoutes()
	r := headOf(s, "wide-0")
	s.observeForwarded(r, &backend.ForwardAnswer{Status: http.StatusOK, Proven: true, Notice: backend.Notice{IsLeaving: true}}, time.Now())
	select {
	case <-s.updateNow:
	default:
		t.Fatal("the routes are not updated at once")
	}
	s.updateRoutes()
	assert.Equal(t, len(s.loggedRoutes), 2)
	assert.Equal(t, headOf(s, "wide-0").target, "")
	assert.Assert(t, !s.permit(&job{}, r)(), "a request that was granted before is withheld")
	assert.Assert(t, !s.inService(r), "nor does a suspect request run there")

	next := *s.o.Follower.Board()
	next.Groups = map[string]blackboard.Group{"wide-0": next.Groups["wide-0"]}
	next.Groups["wide-0"].Members[0].Incarnation = "restarted"
	s.o.Follower = fixedBoard{board: &next, lease: time.Minute}
	s.updateRoutes()
	assert.Equal(t, headOf(s, "wide-0").incarnation, "restarted", "a new start is not leaving")
}

// Guards against requests to a leaving group while the groups that stay are full.
func TestRequestsWaitRatherThanGoToALeavingGroup(t *testing.T) {
	s := deafServer(servingPool(2, 4, 1, 2))
	s.updateRoutes()
	s.observeForwarded(headOf(s, "wide-0"), &backend.ForwardAnswer{Status: http.StatusOK, Proven: true, Notice: backend.Notice{IsLeaving: true}}, time.Now())
	s.updateRoutes()
	waiting := 0
	for i := range 20 {
		now := time.Now()
		ticket, e := s.dispatcher.offer(&job{id: fmt.Sprint(i), model: "wide", maxTokens: 2000, arrived: now, deadline: now.Add(time.Minute)})
		assert.Assert(t, e == nil, "%v", e)
		select {
		case g := <-ticket.granted:
			assert.Equal(t, g.route.group, "wide-1")
		default:
			waiting++
		}
	}
	assert.Assert(t, waiting > 0 && waiting < 20, "%d of 20 wait", waiting)
}

// Guards against a notice that is dropped in one kind of answer.
func TestLeavingIsObservedInEachKindOfAnswer(t *testing.T) {
	notice := backend.Notice{IsLeaving: true}
	s := configuredServer(t, &scriptedForwarder{})
	now := time.Now()
	s.observeForwarded(route{incarnation: "answered"}, &backend.ForwardAnswer{Status: 200, Proven: true, Notice: notice}, now)
	s.observeForwarded(route{incarnation: "rejected"}, &backend.ForwardAnswer{Status: 503, NotRun: true, Notice: notice}, now)
	s.observeForwarded(route{incarnation: "failed"}, &backend.ForwardAnswer{Status: 500, Notice: notice}, now)
	s.observeForwarded(route{incarnation: "misdirected"}, &backend.ForwardAnswer{Status: 421, NotRun: true, OtherServer: true, Notice: notice}, now)
	s.observeNotice(route{incarnation: "streamed"}, notice, true, now)
	s.observeRefusal(route{incarnation: "refused"}, &backend.CallError{Stage: backend.StageRefused, Notice: notice}, now)
	for _, incarnation := range []string{"answered", "rejected", "failed", "misdirected", "streamed", "refused"} {
		assert.Assert(t, s.leavingServers.contains(incarnation), incarnation)
	}
}

// Guards against a backend server that is used again because of an announcement from before it began
// to leave, and against one that stays after all and is never used again.
func TestLeavingEndsOnlyByALaterAnnouncement(t *testing.T) {
	l, now := newLeavingServers(), time.Now()
	soon, later, never := now.Add(leavingOverride), now.Add(leavingOverride+2*time.Second), time.Time{}
	assert.Assert(t, !l.update(now, "i", false, never))
	assert.Assert(t, l.update(now, "i", true, never), "by an announcement alone")
	assert.Assert(t, !l.update(now, "i", false, never))

	assert.Assert(t, l.add(now, "i"))
	assert.Assert(t, !l.add(now.Add(time.Second), "i"))
	assert.Assert(t, l.update(later, "i", false, never), "no announcement says anything")
	assert.Assert(t, l.update(later, "i", false, soon), "the announcement may be older than the answer")
	assert.Assert(t, l.update(now, "i", true, now))
	assert.Assert(t, l.update(soon, "i", false, soon), "an older announcement, at a new leader")
	assert.Assert(t, !l.update(later, "i", false, soon), "the backend server no longer says so")
	assert.Assert(t, !l.contains("i"))

	l.add(now, "i")
	assert.Assert(t, !l.update(later, "i", false, later), "a much later announcement")

	l.add(now, "old")
	l.add(now.Add(leavingRetention+time.Second), "new")
	assert.Equal(t, len(l.notices), 1)
}
