package control

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
)

// Guards against an operator who takes a part of the leader's answer for the whole, and against a
// leader whose answer never ends.
func TestForwardedAnswerIsWholeOrCut(t *testing.T) {
	part := strings.Repeat("x", 64<<10)
	for name, c := range map[string]struct {
		// parts is how many parts the leader sends, and isCut is set if it is lost after them.
		parts int
		isCut bool
		whole bool
	}{
		"whole":       {3, false, true},
		"cut":         {3, true, false},
		"without end": {2 * adminapi.MaxAnswerBytes / len(part), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for range c.parts {
					_, _ = io.WriteString(w, part)
				}
				if c.isCut {
					panic(http.ErrAbortHandler)
				}
			}))
			defer leader.Close()
			f := NewForwarder(&http.Client{}, "token", log.NewNopLogger())
			e := echo.New()
			e.HTTPErrorHandler = func(err error, c echo.Context) { writeError(c, err) }
			e.GET("/", func(c echo.Context) error { return f.forward(c, strings.TrimPrefix(leader.URL, "http://")) })
			follower := httptest.NewServer(e)
			defer follower.Close()

			answer, err := http.Get(follower.URL)
			assert.NilError(t, err)
			defer answer.Body.Close()
			n, err := io.Copy(io.Discard, answer.Body)
			assert.Equal(t, err == nil, c.whole, "%v", err)
			assert.Assert(t, n <= adminapi.MaxAnswerBytes, "%d bytes", n)
			if c.whole {
				assert.Equal(t, n, int64(c.parts*len(part)))
			}
		})
	}
}
