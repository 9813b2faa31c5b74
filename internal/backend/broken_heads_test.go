package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against answers that net/http accepts and HTTP does not allow.
func TestAnswersThatOnlyNetHTTPAcceptsAreMalformed(t *testing.T) {
	const sound = "Content-Length: 2\r\n\r\nhi"
	for name, text := range map[string]string{
		"status 000":         "HTTP/1.1 000 X\r\n" + sound,
		"status 099":         "HTTP/1.1 099\r\n" + sound,
		"status +20":         "HTTP/1.1 +20 X\r\n" + sound,
		"status 600":         "HTTP/1.1 600 X\r\n" + sound,
		"status 101":         "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"version 2.0":        "HTTP/2.0 200 OK\r\n" + sound,
		"blank in a name":    "HTTP/1.1 200 OK\r\nX A: b\r\n" + sound,
		"blank after a name": "HTTP/1.1 200 OK\r\nX-A : b\r\n" + sound,
		"1xx head":           "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
		"chunks in 1.0":      "HTTP/1.0 200 OK\r\ntransfer-ENCODING: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"trailer":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX A: b\r\n\r\n",
	} {
		err := callAll(t, answering(t, text, ""))
		assert.Check(t, errors.Is(err, ErrMalformed), "%s: %v", name, err)
	}
}

// Guards against a check that refuses answers of odd but legal form.
func TestAnswersOfOddFormAreAccepted(t *testing.T) {
	for name, text := range map[string]string{
		"no reason phrase":      "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nhi",
		"no blank behind it":    "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nhi",
		"line feeds alone":      "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi",
		"version 1.0":           "HTTP/1.0 200 OK\r\n\r\nhi",
		"status of no meaning":  "HTTP/1.1 299 X\r\nContent-Length: 2\r\n\r\nhi",
		"a folded value":        "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 2\r\n\r\nhi",
		"all bytes of a token":  "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09az: b\r\nContent-Length: 2\r\n\r\nhi",
		"an empty value":        "HTTP/1.1 200 OK\r\nX-A:\r\nContent-Length: 2\r\n\r\nhi",
		"a value beyond ASCII":  "HTTP/1.1 200 OK\r\nX-A: \xe9\r\nContent-Length: 2\r\n\r\nhi",
		"1xx heads":             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		"a trailer":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n2\r\nhi\r\n0\r\nX-A: b\r\n\r\n",
		"an announced trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-A, X B\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"an extension of chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nhi\r\n0\r\n\r\n",
	} {
		c := newClient(t, Options{})
		answer, err := c.Call(t.Context(), answering(t, text, ""), ServiceCall{Method: http.MethodPost, Path: "/", Verbatim: true, Host: "h"})
		assert.NilError(t, err, name)
		body, err := io.ReadAll(answer.Body)
		assert.NilError(t, err, name)
		assert.Equal(t, string(body), "hi", name)
		assert.NilError(t, answer.Body.Close())
	}
}

// Guards against a request on the connection of an answer with a broken trailer, behind which nothing is served.
func TestConnectionOfABrokenTrailerIsNotUsedAgain(t *testing.T) {
	address := rawServer(t, func(conn net.Conn, _ int) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX A: b\r\n\r\n")
		_, _ = io.Copy(io.Discard, reader)
	})
	c := newClient(t, Options{})
	for answered := 0; answered < 10; {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		answer, err := c.Call(ctx, address, ServiceCall{Method: http.MethodPost, Path: "/", Verbatim: true, Host: "h"})
		var call *CallError
		if errors.As(err, &call) && call.Stage == StageNotSent {
			// The pool gave out the connection before it saw that it is closed.
			continue
		}
		assert.NilError(t, err)
		answered++
		_, err = io.ReadAll(answer.Body)
		assert.Assert(t, errors.Is(err, ErrMalformed), "%v", err)
		assert.NilError(t, answer.Body.Close())
	}
}

// Guards against an engine that counts as crashed because the body of its refusal, or of its reply to an order, follows
// no protocol.
func TestBrokenBodiesOfRepliesAreMalformed(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for _, body := range []string{"garbage\r\n", "2\r\n{}\r\n0\r\nX A: b\r\n\r\n", "2\r\n{}\r\n0\r\nX\x01A: b\r\n\r\n"} {
		c := newClient(t, Options{})
		_, err := c.Generate(t.Context(), answering(t, "HTTP/1.1 500 Failed\r\n"+chunked+body, ""), Generation{Attempt: "a"})
		assert.Check(t, errors.Is(err, ErrMalformed), "%q: %v", body, err)
		_, err = c.Order(t.Context(), answering(t, "HTTP/1.1 200 OK\r\n"+chunked+body, ""), Order{Kind: OrderLoad})
		assert.Check(t, errors.Is(err, ErrMalformed), "%q: %v", body, err)
		assert.Equal(t, c.HeadSample().Used, int64(0))
	}
	c := newClient(t, Options{})
	_, err := c.Generate(t.Context(), answering(t, "HTTP/1.1 500 Failed\r\nContent-Length: 9\r\n\r\n{}", ""), Generation{Attempt: "a"})
	assert.Check(t, err != nil && !errors.Is(err, ErrMalformed), "a cut: %v", err)
}
