package harness

import (
	"net"
	"sync"
	"time"
)

// Direction is one of the two directions of a link.
type Direction int

// The directions: Forward is from the caller to the process that the link
// leads to, Back is the other.
const (
	Forward Direction = iota
	Back
)

// drop says which bytes a relay throws away.
type drop [2]bool

// relay passes connections on, and can lose one or both directions of all, of
// one process's, or of the open connections. Lost bytes are read and thrown
// away: neither end is told, as when a network partition or a middlebox loses
// packets.
type relay struct {
	upstream string
	// sources returns the processes that connections are told apart by.
	sources func() []int

	listener net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	all    drop
	bySrc  map[int]drop
	conns  map[*relayed]struct{}
	closed bool
}

// relayed is one connection through the relay.
type relayed struct {
	relay      *relay
	findSource sync.Once
	source     int
	silenced   bool
	ends       [2]net.Conn
}

const dialTimeout = 5 * time.Second

func startRelay(listen, upstream string, sources func() []int) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{
		upstream: upstream, sources: sources, listener: listener,
		bySrc: map[int]drop{}, conns: map[*relayed]struct{}{},
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
	c := &relayed{relay: r, ends: [2]net.Conn{client, server}}
	if !r.enter(c) {
		return
	}
	defer r.leave(c)
	back := make(chan struct{})
	go func() {
		defer close(back)
		c.copy(Back)
	}()
	c.copy(Forward)
	<-back
}

// copy passes one direction on until either end closes, and closes both.
// While the direction is lost it goes on reading, so that the sender sees a
// connection that takes its bytes; the end of a lost connection is lost too.
func (c *relayed) copy(d Direction) {
	from, to := c.ends[d], c.ends[1-d]
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.lost(d) {
			if err != nil {
				c.awaitHealed(d)
				break
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
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

// awaitHealed keeps the far end of a lost connection open, as a partition
// would, until the relay ends or the direction works again.
func (c *relayed) awaitHealed(d Direction) {
	for c.lost(d) && !c.relay.ended() {
		time.Sleep(pollInterval)
	}
}

func (c *relayed) lost(d Direction) bool {
	r := c.relay
	r.mu.Lock()
	lost, bySource := c.silenced || r.all[d], len(r.bySrc) > 0
	r.mu.Unlock()
	if lost || !bySource {
		return lost
	}
	source := c.sourceProcess()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bySrc[source][d]
}

// sourceProcess returns the process at the client's end. It is looked up only
// once some process is cut off by itself: the table of connections is long on
// a busy machine, and reading it for each connection takes whole cores.
func (c *relayed) sourceProcess() int {
	c.findSource.Do(func() { c.source = ownerOf(c.ends[0], c.relay.sources()) })
	return c.source
}

func (r *relay) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

func (r *relay) enter(c *relayed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *relay) leave(c *relayed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *relay) setAll(d drop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = d
}

func (r *relay) setSource(pid int, d drop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bySrc[pid] = d
}

// heal lets everything through again, but for silenced connections, whose
// streams have holes by now: those end.
func (r *relay) heal() {
	r.mu.Lock()
	r.all = drop{}
	r.bySrc = map[int]drop{}
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

// silence loses all bytes of the open connections for good; new ones work.
// It returns how many it has silenced.
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
