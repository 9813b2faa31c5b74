//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id, method, target string
	sent, ended        time.Time
	status             int
	header             http.Header
	body               string
	err                error
}

var requestNumber atomic.Uint64

// newID returns an id that no other request has.
func newID() string { return fmt.Sprintf("r%d-%d", time.Now().UnixNano()%1e9, requestNumber.Add(1)) }

// request is one request of a client.
type request struct {
	method, target, host, key, body string
	deadline                        time.Duration
}

func (q request) head(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Citronstep-Request-Id: %s\r\nX-Citronstep-Deadline-Ms: %d\r\n", q.method, q.target, q.host, id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "X-Citronstep-Credential: %s\r\n", q.key)
	}
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n"
}

// send sends a request on a new connection and reads the answer.
func send(address string, q request) (r result) {
	r = result{id: newID(), method: q.method, target: q.target, sent: time.Now()}
	defer func() { r.ended = time.Now() }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, r.err = io.WriteString(c, q.head(r.id)+q.body); r.err != nil {
		return r
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	r.status, r.header, r.body, r.err = answer.StatusCode, answer.Header, string(body), err
	return r
}
