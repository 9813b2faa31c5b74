package intake

import (
	"container/list"
	"net"
	"net/http"
	"time"
)

// silentUse is how long a connection without a request counts as in use: it is likely to bring one.
const silentUse = 2 * window

// connections holds the open connections of callers by what they carry.
type connections struct {
	// open counts all that were accepted and have not been closed.
	open int
	// active holds those with a request.
	active map[net.Conn]struct{}
	// silent holds those that have not brought a request yet, and their places in order: the oldest comes first.
	silent map[net.Conn]*list.Element
	order  list.List
}

// silentConnection is an element of connections.order.
type silentConnection struct {
	conn       net.Conn
	acceptedAt time.Time
}

func newConnections() connections {
	return connections{active: make(map[net.Conn]struct{}), silent: make(map[net.Conn]*list.Element)}
}

func (c *connections) add(now time.Time, conn net.Conn) {
	c.open++
	c.silent[conn] = c.order.PushBack(silentConnection{conn: conn, acceptedAt: now})
}

// setState takes in a state that an http.Server reports.
func (c *connections) setState(conn net.Conn, s http.ConnState) {
	if s == http.StateNew {
		return
	}
	if element, ok := c.silent[conn]; ok {
		c.order.Remove(element)
		delete(c.silent, conn)
	}
	delete(c.active, conn)
	switch s {
	case http.StateActive:
		c.active[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

// inUse counts the connections that carry a request, or are likely to bring one.
func (c *connections) inUse(now time.Time) int {
	n := len(c.active)
	for e := c.order.Back(); e != nil && now.Sub(e.Value.(silentConnection).acceptedAt) < silentUse; e = e.Prev() {
		n++
	}
	return n
}

// takeSilent returns the connection that has been silent longest and forgets it as one, or nil.
func (c *connections) takeSilent() net.Conn {
	oldest := c.order.Front()
	if oldest == nil {
		return nil
	}
	conn := c.order.Remove(oldest).(silentConnection).conn
	delete(c.silent, conn)
	return conn
}
