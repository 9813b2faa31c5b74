package tool

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/failure"
)

// Guards against an address that answers without end and of which the tool says that it sent no JSON.
func TestAnswerWithoutEndIsNamed(t *testing.T) {
	part := []byte(strings.Repeat(" ", 64<<10))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for sent := 0; sent < 2*adminapi.MaxAnswerBytes; sent += len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	defer s.Close()
	c := newClient(connection{addresses: []string{strings.TrimPrefix(s.URL, "http://")}, timeout: time.Minute})
	err := c.get(context.Background(), adminapi.PathStatus, &adminapi.Status{})
	assert.Assert(t, failure.Is(err, failure.TypeInternal), "%v", err)
	assert.ErrorContains(t, err, "more than")
}
