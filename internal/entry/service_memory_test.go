package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
)

// heldAnswer is a client of plain services whose answer is repeated without end.
type heldAnswer struct {
	backend.Client
	body io.ReadCloser
}

func (h heldAnswer) Call(context.Context, string, backend.ServiceCall) (*backend.ServiceAnswer, error) {
	return &backend.ServiceAnswer{Status: http.StatusOK, Header: http.Header{}, Body: h.body, Length: -1}, nil
}

// Guards against answers to the entry's own API that are read without regard to the memory budget.
func TestServiceCallWaitsForMemory(t *testing.T) {
	s := configuredServer(t, &scriptedForwarder{})
	s.memory = newMemoryBudget(answerChunk)
	s.memory.forceReserve(1)
	body := &repeatedBody{text: "a", failsAfter: maxServiceAnswer}
	s.o.Client = heldAnswer{body: body}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	out, _ := s.call(&job{ctx: ctx, service: &serviceCall{}}, grant{})
	assert.Equal(t, out, outcomeJobEnded)
	assert.Equal(t, body.read, 0)
}
