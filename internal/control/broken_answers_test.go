package control

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
)

// startRawLeader starts a leader that answers each request with a text, and returns its address.
func startRawLeader(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against an operator who gets a broken answer of the leader as an answer, or whose connection is closed for it.
func TestBrokenAnswerOfTheLeaderEndsInATypedFailure(t *testing.T) {
	const sound = "Content-Length: 2\r\n\r\n{}"
	for name, c := range map[string]struct {
		text  string
		whole bool
	}{
		"status 000":      {"HTTP/1.1 000 Zero\r\n" + sound, false},
		"status 099":      {"HTTP/1.1 099 Low\r\n" + sound, false},
		"status 999":      {"HTTP/1.1 999 High\r\n" + sound, false},
		"a name":          {"HTTP/1.1 200 OK\r\nX A: b\r\n" + sound, false},
		"a length":        {"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n{}", false},
		"a 1xx head":      {"HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + sound, false},
		"a trailer":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX\x01A: b\r\n\r\n", true},
		"sound":           {"HTTP/1.1 200 OK\r\n" + sound, true},
		"sound 1xx heads": {"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200\r\n" + sound, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewForwarder(&http.Client{}, "token", log.NewNopLogger())
			e := echo.New()
			e.HTTPErrorHandler = func(err error, c echo.Context) { writeError(c, err) }
			leader := startRawLeader(t, c.text)
			e.GET("/", func(c echo.Context) error { return f.forward(c, leader) })
			follower := httptest.NewServer(e)
			defer follower.Close()

			answer, err := http.Get(follower.URL)
			assert.NilError(t, err)
			defer answer.Body.Close()
			body, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			if c.whole {
				assert.Equal(t, string(body), "{}")
				return
			}
			var refusal failure.Body
			assert.NilError(t, json.Unmarshal(body, &refusal))
			assert.Assert(t, refusal.Error != nil, "%d %s", answer.StatusCode, body)
			assert.Equal(t, refusal.Error.Type, failure.TypeOutcomeUnknown)
		})
	}
}
