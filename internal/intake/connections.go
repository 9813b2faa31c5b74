package intake

import (
	"container/list"
	"net"
	"net/http"
	"time"
)

// silentUse is how long a connection without a request counts as in use: it is likely to bring one.
const silentUse = 2 * window

// connections holds the open connections of one listener by what they carry.
type connections struct {
	// open counts all that were accepted and have not been closed.
	open int
	// active holds those with a request, and those that no longer carry HTTP.
	active map[net.Conn]struct{}
	// silent holds those that have not brought a request yet, idle those that wait for a further one, receiving those with
	// a request whose body has not arrived.
	silent, idle, receiving waiting
}

// waiting holds connections without a complete request in the order in which they began to wait.
type waiting struct {
	places map[net.Conn]*list.Element
	order  list.List
}

// waitingConnection is an element of waiting.order.
type waitingConnection struct {
	conn  net.Conn
	since time.Time
}

func newConnections() connections {
	return connections{
		active: make(map[net.Conn]struct{}),
		silent: waiting{places: make(map[net.Conn]*list.Element)},
		idle:   waiting{places: make(map[net.Conn]*list.Element)},

		receiving: waiting{places: make(map[net.Conn]*list.Element)},
	}
}

func (w *waiting) add(now time.Time, conn net.Conn) {
	w.places[conn] = w.order.PushBack(waitingConnection{conn: conn, since: now})
}

func (w *waiting) remove(conn net.Conn) {
	if element, ok := w.places[conn]; ok {
		w.order.Remove(element)
		delete(w.places, conn)
	}
}

// take removes and returns the connection that has waited longest, or nil.
func (w *waiting) take() net.Conn {
	oldest := w.order.Front()
	if oldest == nil {
		return nil
	}
	conn := oldest.Value.(waitingConnection).conn
	w.remove(conn)
	return conn
}

// countSince returns how many have waited for less than a time.
func (w *waiting) countSince(now time.Time, d time.Duration) int {
	n := 0
	for e := w.order.Back(); e != nil && now.Sub(e.Value.(waitingConnection).since) < d; e = e.Prev() {
		n++
	}
	return n
}

func (c *connections) add(now time.Time, conn net.Conn) {
	c.open++
	c.silent.add(now, conn)
}

// setState applies a state that an http.Server reports.
func (c *connections) setState(now time.Time, conn net.Conn, s http.ConnState) {
	if s == http.StateNew {
		return
	}
	c.silent.remove(conn)
	c.idle.remove(conn)
	c.receiving.remove(conn)
	delete(c.active, conn)
	switch s {
	case http.StateActive, http.StateHijacked:
		c.active[conn] = struct{}{}
	case http.StateIdle:
		c.idle.add(now, conn)
	case http.StateClosed:
		c.open--
	}
}

// setReceiving records whether the body of a connection's request is yet to arrive.
func (c *connections) setReceiving(now time.Time, conn net.Conn, is bool) {
	_, isActive := c.active[conn]
	_, isReceiving := c.receiving.places[conn]
	switch {
	case is && isActive:
		delete(c.active, conn)
		c.receiving.add(now, conn)
	case !is && isReceiving:
		c.receiving.remove(conn)
		c.active[conn] = struct{}{}
	}
}

// inUse counts the connections that carry a request, or are likely to bring one.
func (c *connections) inUse(now time.Time) int {
	return len(c.active) + len(c.receiving.places) + c.silent.countSince(now, silentUse)
}

// closeUnused closes the connection that gives way to a new one: the one that has been silent longest, else the one that
// has been idle longest, else the one whose body has been arriving longest. It returns which kind it was, or noneUnused.
func (c *connections) closeUnused() unusedKind {
	if conn := c.silent.take(); conn != nil {
		reset(conn)
		return silentUnused
	}
	if conn := c.idle.take(); conn != nil {
		// A reset would discard what the caller has not received of its last answer.
		_ = conn.Close()
		return idleUnused
	}
	if conn := c.receiving.take(); conn != nil {
		c.active[conn] = struct{}{}
		_ = conn.Close()
		return receivingUnused
	}
	return noneUnused
}

// unused counts the connections without a complete request.
func (c *connections) unused() int {
	return len(c.silent.places) + len(c.idle.places) + len(c.receiving.places)
}

// unusedKind is a kind of connections without a complete request.
type unusedKind int

const (
	noneUnused unusedKind = iota
	silentUnused
	idleUnused
	receivingUnused
)
