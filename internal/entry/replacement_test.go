package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// heldServers hold back the heads of their answers once holds is set.
type heldServers struct {
	*soundServers
	holds bool

	mu   sync.Mutex
	held []*heldCall
}

// heldCall is a call that waits for the status of its answer.
type heldCall struct {
	ctx    context.Context
	status chan int
}

func (h *heldServers) Forward(ctx context.Context, c backend.ForwardCall) (*backend.ForwardAnswer, error) {
	if !h.holds {
		return h.soundServers.Forward(ctx, c)
	}
	call := &heldCall{ctx: ctx, status: make(chan int, 1)}
	h.mu.Lock()
	h.held = append(h.held, call)
	h.mu.Unlock()
	select {
	case status := <-call.status:
		if status == http.StatusOK {
			return h.soundServers.Forward(ctx, c)
		}
		isRefusal := status == http.StatusServiceUnavailable
		return &backend.ForwardAnswer{Status: status, Header: http.Header{}, Body: http.NoBody, NotRun: isRefusal, Proven: true}, nil
	case <-ctx.Done():
		return nil, &backend.CallError{Stage: backend.StageUnknown, Cause: ctx.Err()}
	}
}

// holdReplacement begins some answers, lets the first one pause, and holds back the head of the attempt that is to
// take its place.
func holdReplacement(t *testing.T) (x *soundSystem, callers []*soundCaller, first *soundRun, held *heldCall) {
	t.Helper()
	x = newSoundSystem(t, 5000)
	servers := &heldServers{soundServers: x.servers}
	x.s.o.Forwarder = servers
	callers = x.beginMany("stream", 8)
	first = x.servers.open()[0]
	servers.holds = true
	x.pauseFirst()
	assert.Equal(t, len(servers.held), 1, "attempts beside the first one")
	assert.NilError(t, first.ctx.Err(), "the first attempt ended before another one was accepted")
	return x, callers, first, servers.held[0]
}

// checkNoWork checks that placement counts no attempt any more.
func (x *soundSystem) checkNoWork() {
	x.t.Helper()
	for _, id := range allGroups {
		load, _ := x.s.dispatcher.picker.Estimate(id)
		assert.Equal(x.t, load, 0.0, "work that is counted on %s", id)
	}
}

// Guards against an attempt that ends although it makes progress before another one is accepted, and against two that go on.
func TestProgressEndsTheAttemptThatWasToTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, callers, first, held := holdReplacement(t)
		first.send()
		synctest.Wait()
		assert.ErrorIs(t, held.ctx.Err(), context.Canceled)
		x.finish(callers...)
		x.checkNoWork()
	})
}

// Guards against a silent attempt that stays although another one was accepted.
func TestAcceptedAttemptTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, callers, first, held := holdReplacement(t)
		held.status <- http.StatusOK
		synctest.Wait()
		assert.ErrorIs(t, first.ctx.Err(), context.Canceled)
		x.finish(callers...)
		assert.Equal(t, len(x.servers.runs), 9)
		x.checkNoWork()
	})
}

// Guards against a cut answer whose attempt breaks off while the one that is to take its place waits for its head.
func TestBrokenAttemptGoesOnWithTheOneThatWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, callers, first, held := holdReplacement(t)
		first.breakOff()
		synctest.Wait()
		held.status <- http.StatusOK
		synctest.Wait()
		x.finish(callers...)
		assert.Equal(t, len(x.servers.runs), 9)
		x.checkNoWork()
	})
}

// Guards against an answer that is cut, or gets an error's bytes, as the server of its next attempt answers with an error.
func TestErrorOfTheNextAttemptIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusNoContent} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, callers, first, held := holdReplacement(t)
				held.status <- status
				synctest.Wait()
				assert.NilError(t, first.ctx.Err())
				x.finish(callers...)
				x.checkNoWork()
			})
		})
	}
}

// Guards against attempts that go on for a caller that has left.
func TestLeavingCallerEndsBothAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		servers := &heldServers{soundServers: x.servers}
		x.s.o.Forwarder = servers
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer (&soundCaller{}).noteAbort()
			_ = x.s.Forward(ctx, httptest.NewRecorder(), ForwardRequest{ID: "leaves", Host: "h", Method: http.MethodPost, Path: "/stream/x", Model: "m", Key: "good"})
		}()
		synctest.Wait()
		first := x.servers.last()
		first.send()
		servers.holds = true
		x.pass(2 * streamGap)
		assert.Equal(t, len(servers.held), 1, "attempts beside the first one")
		leave()
		time.Sleep(readyAnswerTime)
		synctest.Wait()
		assert.ErrorIs(t, first.ctx.Err(), context.Canceled)
		assert.ErrorIs(t, servers.held[0].ctx.Err(), context.Canceled)
		<-done
		time.Sleep(2 * crashWait)
		x.checkNoWork()
	})
}

// disturb does something at random to each run and to each call that waits for its head.
func (h *heldServers) disturb(r *rand.Rand) {
	for _, run := range h.open() {
		switch n := r.IntN(40); {
		case n == 0:
			run.breakOff()
		case n < 10 && run.sent < streamEvents-1:
			run.send()
		case n == 10 && run.sent > 0:
			run.finish()
		}
	}
	h.mu.Lock()
	held := h.held
	h.held = nil
	h.mu.Unlock()
	for _, call := range held {
		switch r.IntN(4) {
		case 0:
			call.status <- http.StatusOK
		case 1:
			call.status <- []int{http.StatusServiceUnavailable, http.StatusInternalServerError, http.StatusNotFound}[r.IntN(3)]
		default:
			h.mu.Lock()
			h.held = append(h.held, call)
			h.mu.Unlock()
		}
	}
}

// Guards against streams with a piece missing, twice or out of order, and requests that are sent more often than their route allows.
func TestRandomHandoversKeepStreamsWhole(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 0))
				x := newSoundSystem(t, 5000)
				servers := &heldServers{soundServers: x.servers}
				counted := &countedCalls{Forwarder: servers, calls: make(map[string]int), single: make(map[string]int)}
				x.s.o.Forwarder = counted
				callers := append(x.beginMany("stream", 8), x.beginMany("single", 4)...)
				servers.holds = true
				for range 200 {
					x.pass(100 * time.Millisecond)
					servers.disturb(r)
					if r.IntN(50) == 0 {
						x.moveGroups([]string{allGroups[r.IntN(2)]}, blackboard.Broken)
						x.apply()
					}
				}
				time.Sleep(20 * time.Second)
				synctest.Wait()
				for _, c := range callers {
					<-c.done
					assert.Assert(t, strings.HasPrefix(wholeStream, c.w.Body.String()), "answer %q", c.w.Body)
					assert.Equal(t, c.aborted || c.failure != nil, c.w.Body.String() != wholeStream)
				}
				time.Sleep(2 * crashWait)
				assert.Equal(t, len(x.servers.open()), 0)
				x.checkNoWork()
				counted.check(t)
			})
		})
	}
}

// countedCalls counts the calls of each request.
type countedCalls struct {
	backend.Forwarder

	mu sync.Mutex
	// calls are those of all requests by id, single those of requests that may be sent once only.
	calls, single map[string]int
}

func (c *countedCalls) Forward(ctx context.Context, call backend.ForwardCall) (*backend.ForwardAnswer, error) {
	c.mu.Lock()
	c.calls[call.ID]++
	if call.NewConnection {
		c.single[call.ID]++
	}
	c.mu.Unlock()
	return c.Forwarder.Forward(ctx, call)
}

// check checks that no request was sent more often than its route allows.
func (c *countedCalls) check(t *testing.T) {
	t.Helper()
	assert.Equal(t, len(c.calls), 12)
	assert.Equal(t, len(c.single), 4)
	for id, n := range c.calls {
		assert.Assert(t, n <= 2, "request %s was sent %d times", id, n)
	}
	for id, n := range c.single {
		assert.Equal(t, n, 1, "runs of request %s, which may be sent once", id)
	}
}

// Guards against an attempt that goes on unread, as it was accepted in the moment in which the first one completed the answer.
func TestCompleteAnswerEndsAnAcceptedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchdog(context.Background(), progressTimeouts{header: time.Minute})
		defer w.stop()
		accepted := &forwardAttempt{w: w}
		h := handover{current: &forwardAttempt{}, next: accepted, isAccepted: true}
		next, isUnused := h.end(false)
		assert.Equal(t, next, accepted)
		assert.Assert(t, isUnused && accepted.isDropped)
		assert.ErrorIs(t, w.ctx.Err(), context.Canceled)
	})
}

// Guards against a request that may be sent once only and is ended unsent, as the group that it was granted is being taken out of service.
func TestRequestIsSentToAGroupThatHasJustBeenRetired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		for _, p := range x.s.progress {
			p.retire()
		}
		x.finish(x.beginMany("single", 60)...)
	})
}
