package intake

import (
	"net"
	"net/http"
	"time"
)

// Accepter decides which connections of a listener stay open.
type Accepter interface {
	// accept returns false for a new connection that is to be closed unread.
	accept(now time.Time, c net.Conn) bool
	// ConnState gets the states of the accepted connections as the http.Server reports them.
	ConnState(c net.Conn, s http.ConnState)
}

// Protect sets up a server that serves the connections of l which a accepts. It returns the listener to serve.
func Protect(server *http.Server, l net.Listener, a Accepter) net.Listener {
	server.ConnState = func(c net.Conn, s http.ConnState) {
		a.ConnState(c, s)
		c.(*conn).setState(s)
	}
	return &listener{Listener: l, accepter: a}
}

type listener struct {
	net.Listener
	accepter Accepter
}

// Accept returns the next accepted connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, accepter: l.accepter}
		if l.accepter.accept(time.Now(), c) {
			return c, nil
		}
		reset(c)
	}
}
