package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// answering returns the address of a server that answers each request with a text and then, without end, with
// another one. It closes the connection after the first text if the other is empty.
func answering(t *testing.T, head, more string) string {
	t.Helper()
	return rawServer(t, func(conn net.Conn, _ int) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, err = io.WriteString(conn, head)
		for err == nil && more != "" {
			_, err = io.WriteString(conn, more)
		}
	})
}

// callAll makes a call and reads its answer to the end.
func callAll(t *testing.T, address string) error {
	t.Helper()
	c := newClient(t, Options{})
	answer, err := c.Call(t.Context(), address, ServiceCall{Method: http.MethodPost, Path: "/", Verbatim: true, Host: "h"})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

// Guards against bytes that follow no protocol and count as a connection that its server has closed.
func TestBytesWithoutAProtocolAreMalformed(t *testing.T) {
	long := strings.Repeat("a", 1<<10)
	for name, text := range map[string][2]string{
		"garbage":              {"garbage", long + "\n"},
		"fields":               {"HTTP/1.1 200 OK\r\n", "X-A: " + long + "\r\n"},
		"early hints":          {"HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"no chunk size":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "garbage\r\n"},
		"an endless extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", long},
		"an endless trailer":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: " + long + "\r\n"},
	} {
		err := callAll(t, answering(t, text[0], text[1]))
		assert.Assert(t, errors.Is(err, ErrMalformed), "%s: %v", name, err)
	}
}

// Guards against a crash of a server in the middle of its answer that counts as bytes without a protocol.
func TestCutAnswerIsNotMalformed(t *testing.T) {
	for _, text := range []string{
		"HTT", "HTTP/1.1 200 OK\r\nX-A: b", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-A: b",
	} {
		err := callAll(t, answering(t, text, ""))
		assert.Assert(t, err != nil, "%q", text)
		assert.Assert(t, !errors.Is(err, ErrMalformed), "%q: %v", text, err)
	}
}

// Guards against an engine that sends lines without an event as fast as it can, until its caller's deadline.
func TestLinesWithoutAnEventAreBounded(t *testing.T) {
	const event = "data: {\"attempt\":\"a\",\"text\":\"hi\"}\n\n"
	for _, line := range []string{": keep-alive\n", "\n", "event: token\n"} {
		tokens, err := stream(t, Options{}, event+strings.Repeat(line, 2*maxQuietBytes/len(line)))
		assert.ErrorIs(t, err, ErrLineTooLong)
		assert.Equal(t, tokens[0].Text, "hi")

		quiet := strings.Repeat(line, maxQuietBytes/len(line)-1)
		tokens, err = stream(t, Options{}, quiet+event+quiet+event)
		assert.ErrorIs(t, err, ErrCut)
		assert.Equal(t, tokens[len(tokens)-1].Text, "hi")
	}
}

// Guards against a server that stops within a head, at any byte, and whose answer counts as one.
func TestHeadCutAtAnyByteIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b\r\n\r\n"
	for end := range len(head) {
		err := callAll(t, answering(t, head[:end], ""))
		assert.Assert(t, err != nil, "%q", head[:end])
		assert.Assert(t, !errors.Is(err, ErrMalformed), "%q: %v", head[:end], err)
	}
	assert.NilError(t, callAll(t, answering(t, head, "")))
}
