package harness

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// Direction is one of the two directions of a link.
type Direction int

// Forward is the direction from the connecting process to the process behind the link. Back is
// the opposite direction.
const (
	Forward Direction = iota
	Back
)

// droppedDirections holds, by Direction, whether a relay drops the data.
type droppedDirections [2]bool

// relay forwards connections. It can drop one or both directions of all connections or of one
// node's connections, and silence the open connections. It reads dropped data and discards it,
// without notice to either end, as a network partition or a middlebox does that drops packets.
type relay struct {
	upstream string

	listener net.Listener
	wg       sync.WaitGroup

	mu       sync.Mutex
	all      droppedDirections
	bySource map[string]droppedDirections
	delay    time.Duration
	// rawAnswer takes the place of each answer of the process; "" is no replacement.
	rawAnswer string
	conns     map[*relayedConn]struct{}
	closed    bool
}

// relayedConn is one connection through the relay.
type relayedConn struct {
	relay *relay
	// source is the IP address that the connection comes from. Each node of a cluster has its own
	// address in the loopback range.
	source   string
	silenced bool
	ends     [2]net.Conn
}

const dialTimeout = 5 * time.Second

func startRelay(listen, upstream string) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{
		upstream: upstream, listener: listener,
		bySource: map[string]droppedDirections{}, conns: map[*relayedConn]struct{}{},
	}
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	defer r.wg.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go r.serve(client)
	}
}

func (r *relay) serve(client net.Conn) {
	defer r.wg.Done()
	defer func() { _ = client.Close() }()
	server, err := net.DialTimeout("tcp", r.upstream, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	c := &relayedConn{relay: r, source: sourceOf(client), ends: [2]net.Conn{client, server}}
	if !r.register(c) {
		return
	}
	defer r.unregister(c)
	back := make(chan struct{})
	go func() {
		defer close(back)
		c.copy(Back)
	}()
	c.copy(Forward)
	<-back
}

// sourceOf returns the IP address of the connection's remote end.
func sourceOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// copy forwards one direction until either end closes, and then closes both ends. While the
// direction is dropped, copy still reads, so that the sender sees a connection that accepts
// its data. The close of a dropped connection is not forwarded either.
func (c *relayedConn) copy(d Direction) {
	from, to := c.ends[d], c.ends[1-d]
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.drops(d) {
			if err != nil {
				c.awaitHealed(d)
				break
			}
			continue
		}
		time.Sleep(c.relay.currentDelay())
		if n > 0 {
			if _, err := to.Write(c.relay.replaced(d, buffer[:n])); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

// awaitHealed keeps the other end of a dropped connection open, as a partition does, until the
// direction works again or the relay closes.
func (c *relayedConn) awaitHealed(d Direction) {
	for c.drops(d) && !c.relay.isClosed() {
		time.Sleep(pollInterval)
	}
}

// drops reports whether the relay now drops direction d of the connection.
func (c *relayedConn) drops(d Direction) bool {
	r := c.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.silenced || r.all[d] || r.bySource[c.source][d]
}

func (r *relay) setDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// currentDelay returns how long the relay holds back each piece of data.
func (r *relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// answerStart is what the first piece of an HTTP answer begins with.
const answerStart = "HTTP/1."

// replaced returns the data to forward for a piece of data: the raw answer if an answer begins with the piece. Later
// pieces of that answer are forwarded behind it.
func (r *relay) replaced(d Direction, piece []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d == Forward || r.rawAnswer == "" || !bytes.HasPrefix(piece, []byte(answerStart)) {
		return piece
	}
	return []byte(r.rawAnswer)
}

func (r *relay) setRawAnswer(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rawAnswer = text
}

func (r *relay) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// register adds a connection, and reports false if the relay is closed.
func (r *relay) register(c *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *relay) unregister(c *relayedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *relay) setAll(d droppedDirections) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = d
}

func (r *relay) setSource(source string, d droppedDirections) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bySource[source] = d
}

// heal ends all cuts and silences, and closes all open connections: their streams may have gaps.
func (r *relay) heal() {
	r.mu.Lock()
	r.all = droppedDirections{}
	r.bySource = map[string]droppedDirections{}
	r.mu.Unlock()
	r.closeConns()
}

func (r *relay) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silenced = false
		_ = c.ends[0].Close()
		_ = c.ends[1].Close()
	}
}

// silence drops all further data of the open connections for good. New connections work. It
// returns the number of connections silenced.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silenced = true
	}
	return len(r.conns)
}

func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.closeConns()
	r.wg.Wait()
}
