package backend

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// longHead returns the beginning of a head of lines that take more memory than bounded.LargeHeader.
func longHead() string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	for i := range 100 {
		_, _ = fmt.Fprintf(&b, "X-%d: b\r\n", i)
	}
	return b.String()
}

func (c *HTTPClient) callTest(t *testing.T, address string) (*ServiceAnswer, error) {
	t.Helper()
	return c.Call(t.Context(), address, ServiceCall{Method: http.MethodPost, Path: "/", Verbatim: true, Host: "h"})
}

// Guards against heads whose memory stays reserved after their exchanges, however these end.
func TestMemoryOfHeadsIsReleased(t *testing.T) {
	c := newClient(t, Options{})
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", longHead() + "Content-Length: 2\r\n\r\nhi", "HTTP/1.1 200 OK\r\n\r\nhi",
		longHead(), "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n", "HTTP/1.1 000 X\r\n\r\n", "garbage\r\n", "", longHead() + "Content-Length: 9\r\n\r\nhi",
		"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
	} {
		answer, err := c.callTest(t, answering(t, text, ""))
		if err == nil {
			assert.Assert(t, c.HeadSample().Used > 0, "%q", text)
			_, _ = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
		}
		assert.Equal(t, c.HeadSample().Used, int64(0), "%q", text)
	}
}

// Guards against usual answers that have no room beside long heads, and against long heads beyond their share.
func TestUsualHeadsHaveRoomBesideLongOnes(t *testing.T) {
	c := newClient(t, Options{HeadMemory: 200 << 10})
	long, usual := answering(t, longHead()+"Content-Length: 2\r\n\r\nhi", ""), answering(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "")
	first, err := c.callTest(t, long)
	assert.NilError(t, err)
	second, err := c.callTest(t, long)
	assert.NilError(t, err)
	_, err = c.callTest(t, long)
	assert.Assert(t, errors.Is(err, ErrMalformed), "%v", err)
	assert.ErrorContains(t, err, errHeadMemory.Error())
	third, err := c.callTest(t, usual)
	assert.NilError(t, err)
	for _, answer := range []*ServiceAnswer{first, second, third} {
		assert.NilError(t, answer.Body.Close())
	}
	again, err := c.callTest(t, long)
	assert.NilError(t, err)
	assert.NilError(t, again.Body.Close())
	assert.Equal(t, c.HeadSample().Used, int64(0))
}

// Guards against a body that is counted as a part of the head, and against a head that is not counted to its end.
func TestHeadEndsWhereItsBodyBegins(t *testing.T) {
	const early = "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", "HTTP/1.1 200\n\n", early + early + "HTTP/1.0 204 x\r\n\r\n", "HTTP/1.1 101 x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n \r\n\r\n", "HTTP/1.1  100 Continue\n\nHTTP/1.1 500 Failed\n\n",
		"HTTP/1.1 200 " + strings.Repeat("long ", 100) + "\r\nX-A: " + strings.Repeat("b", 500) + "\r\n\r\n",
	} {
		text := head + "\r\nbody\r\n\r\n"
		for piece := 1; piece <= len(text); piece++ {
			s, got := headScan{}, 0
			for from := 0; from < len(text); from += piece {
				got += len(s.read([]byte(text[from:min(from+piece, len(text))])))
			}
			assert.Equal(t, got, len(head), "%q in pieces of %d", head, piece)
			assert.Assert(t, s.isComplete)
		}
	}
}
