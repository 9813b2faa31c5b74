package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
)

// oneUnreadable answers without end at address "a", and completely at all others.
type oneUnreadable struct {
	mu    sync.Mutex
	asked int
}

func (o *oneUnreadable) Forward(_ context.Context, c backend.ForwardCall) (*backend.ForwardAnswer, error) {
	if c.Address != "a" {
		return answerWith(200, "whole", false)(c)
	}
	o.mu.Lock()
	o.asked++
	o.mu.Unlock()
	return endlessAnswer("a", -1), nil
}

// Guards against a server that answers without end and is asked again all the time.
func TestServerThatAnswersWithoutEndIsSetAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &oneUnreadable{}
		s := configuredServer(t, &scriptedForwarder{})
		s.o.Forwarder = f
		const interval, length = 50 * time.Millisecond, 12 * time.Second
		for i := range int(length / interval) {
			w, e, _ := send(s, ForwardRequest{ID: fmt.Sprint(i), Path: "/many/x", Body: fmt.Append(nil, i)})
			assert.Assert(t, e == nil)
			assert.Equal(t, w.Body.String(), "whole")
			time.Sleep(interval)
		}
		// Three requests, and the probes after four and eight seconds more.
		assert.Assert(t, f.asked <= 5, "it was asked %d times", f.asked)
		time.Sleep(2 * crashWait)
	})
}

// Guards against a request that waits, or is said to have run, while the only server of its service is set aside.
func TestRequestIsRefusedAtOnceWhileItsServerIsSetAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &oneUnreadable{}
		s := configuredServer(t, &scriptedForwarder{})
		s.o.Forwarder = f
		s.dispatcher.leaveOnly("a")
		for i := range 3 {
			time.Sleep(time.Second)
			_, e, _ := send(s, ForwardRequest{Path: "/many/x", Body: fmt.Append(nil, i)})
			assert.Equal(t, e.Ran, failure.RanUnknown)
		}
		began := time.Now()
		_, e, _ := send(s, ForwardRequest{Path: "/many/x", Body: []byte("last")})
		assert.Equal(t, e.Type, failure.TypeNoBackendServer)
		assert.Equal(t, e.Ran, failure.RanNo)
		assert.Assert(t, e.RetryAfter > 0)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, f.asked, 3)
		time.Sleep(2 * crashWait)
	})
}

// Guards against requests that wait to their deadline for a server that is set aside meanwhile.
func TestWaitingRequestsAreRefusedOnceTheirServerIsSetAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := configuredServer(t, &scriptedForwarder{})
		s.o.Forwarder = &oneUnreadable{}
		s.dispatcher.leaveOnly("a")
		var callers sync.WaitGroup
		refused := make(chan *failure.Error, 8)
		for i := range cap(refused) {
			callers.Go(func() {
				began := time.Now()
				_, e, _ := send(s, ForwardRequest{ID: fmt.Sprint(i), Path: "/many/x", Body: fmt.Append(nil, i)})
				// The server is avoided for 250 and 500 ms after its first two answers, and set aside after the third.
				assert.Check(t, time.Since(began) < time.Second, "%s", time.Since(began))
				refused <- e
			})
		}
		for range 150 {
			time.Sleep(dispatchInterval)
			s.dispatcher.tick(time.Now())
		}
		callers.Wait()
		close(refused)
		notRun := 0
		for e := range refused {
			if e.Ran == failure.RanNo {
				notRun++
				assert.Equal(t, e.Type, failure.TypeNoBackendServer)
			}
		}
		assert.Equal(t, notRun, cap(refused)-3)
		time.Sleep(2 * crashWait)
	})
}
