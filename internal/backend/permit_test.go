package backend

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against a request that is sent after its permit was refused, on a new connection or on one
// from the pool.
func TestRefusedPermitSendsNothing(t *testing.T) {
	var arrived atomic.Int64
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		_, _ = w.Write([]byte("x"))
	})
	c, ctx := newClient(t, Options{}), context.Background()
	call := func(isNew, isAllowed bool) error {
		answer, err := c.Call(ctx, address, ServiceCall{
			Method: http.MethodGet, Path: "/", NewConnection: isNew, Permit: func() bool { return isAllowed },
		})
		if err != nil {
			return err
		}
		_, err = c.readReply(answer.Body.(*answerBody).exchange)
		return err
	}
	checkWithheld := func(err error) {
		t.Helper()
		var failed *CallError
		assert.Assert(t, errors.As(err, &failed))
		assert.Equal(t, failed.Stage, StageNotSent)
		assert.ErrorIs(t, err, ErrWithheld)
	}
	for range 20 {
		assert.NilError(t, call(false, true))
		checkWithheld(call(false, false))
		checkWithheld(call(true, false))
	}
	_, err := c.Generate(ctx, address, Generation{Permit: func() bool { return false }})
	checkWithheld(err)
	assert.Equal(t, arrived.Load(), int64(20))
}
