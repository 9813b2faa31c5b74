package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
)

// unansweredForwarder sends no answer until the call's context ends.
type unansweredForwarder struct{ calls int }

func (f *unansweredForwarder) Forward(ctx context.Context, c backend.ForwardCall) (*backend.ForwardAnswer, error) {
	f.calls++
	<-ctx.Done()
	return nil, &backend.CallError{Address: c.Address, Stage: backend.StageUnknown, Cause: context.Cause(ctx)}
}

// Guards against a request that is sent once more at its deadline, and a slow server that counts as failed for it.
func TestDeadlineIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 {
			f := &unansweredForwarder{}
			s := configuredServer(t, &scriptedForwarder{})
			s.o.Forwarder, s.o.Client = f, backend.NewHTTPClient(backend.Options{})
			_, e, _ := send(s, ForwardRequest{Path: "/many/x"})
			assert.Equal(t, e.Type, failure.TypeDeadlineExceeded)
			assert.Equal(t, f.calls, 1)
		}
		time.Sleep(2 * crashWait)
	})
}
