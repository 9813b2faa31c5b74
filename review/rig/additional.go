//go:build review

package main

import (
	"context"
	"net"
	"net/http"
)

// additionalBytes are what a faulty runner sends after a complete answer: the words with which a server refuses bytes
// that it can't read. They belong to no request and name none.
const additionalBytes = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\nBad Request"

// faultyListener accepts connections on which additional bytes may follow an answer.
type faultyListener struct{ net.Listener }

// Accept accepts the next connection.
func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c, add: make(chan struct{}, 1)}, nil
}

// faultyConn sends the additional bytes late: when the next request arrives.
type faultyConn struct {
	net.Conn
	// add holds a token while the last answer has additional bytes that are not sent yet.
	add chan struct{}
}

// Read reads from the connection.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		select {
		case <-c.add:
			_, _ = c.Write([]byte(additionalBytes))
		default:
		}
	}
	return n, err
}

type connKey struct{}

// additionalBytesAfter makes a runner send additional bytes after the answers that spoils chooses.
func additionalBytesAfter(x *runner, spoils func() bool) func(net.Listener, *http.Server) net.Listener {
	return func(l net.Listener, server *http.Server) net.Listener {
		server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			x.serve(w, request)
			if spoils() {
				request.Context().Value(connKey{}).(*faultyConn).add <- struct{}{}
				x.record.add(x.id, "spoils_an_answer", "request", request.Header.Get("X-Citronstep-Request-Id"))
			}
		})
		return faultyListener{l}
	}
}
