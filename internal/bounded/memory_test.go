package bounded

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
)

// Guards against bodies that are refused although there is room, and against memory that stays reserved.
func TestBodiesBeyondTheirMemoryAreRefused(t *testing.T) {
	const length = 1 << 20
	memory := NewMemory(4*length*memoryPerByte, LargeBody)
	next := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			failure.Write(w, err)
		}
	})
	h := Bodies{Next: next, MaxBytes: 4 * length, Time: time.Minute, Memory: memory}
	send := func(length int) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", length))))
		assert.Equal(t, memory.Sample().Used, int64(0))
		return w
	}
	assert.Equal(t, send(2*length).Code, http.StatusOK)
	refused := send(3 * length)
	assert.Equal(t, refused.Code, http.StatusTooManyRequests)
	assert.Equal(t, refused.Header().Get("Retry-After"), "1")
	assert.Assert(t, strings.Contains(refused.Body.String(), `"ran":"no"`), refused.Body.String())
}

// Guards against large messages that leave no room to others.
func TestLargeMessagesLeaveRoom(t *testing.T) {
	const limit, large = 1000, 10
	m := NewMemory(limit, large)
	assert.Assert(t, m.Grow(0, large))
	assert.Assert(t, m.Grow(large, limit/2-large))
	assert.Assert(t, !m.Grow(0, large+1))
	for range limit / 2 / large {
		assert.Assert(t, m.Grow(0, large))
	}
	assert.Assert(t, !m.Grow(0, 1))
	m.Release(limit / 2)
	assert.Assert(t, m.Grow(0, limit/2))
	assert.Equal(t, m.Sample(), MemorySample{Limit: limit, Used: limit, UsedByLarge: limit / 2, Refused: 2})
}
