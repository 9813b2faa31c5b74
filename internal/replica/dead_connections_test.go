package replica

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proxy forwards connections to a host. silence makes the open connections carry nothing more,
// without closing them, while new connections still work.
type proxy struct {
	listener net.Listener
	target   string

	mu            sync.Mutex
	conns         []net.Conn
	silent        map[net.Conn]bool
	acceptedCount int
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &proxy{listener: l, target: target, silent: map[net.Conn]bool{}}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *proxy) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.acceptedCount++
		r.mu.Unlock()
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go r.pass(in, out)
		go r.pass(out, in)
	}
}

func (r *proxy) pass(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		silent := r.silent[from]
		r.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (r *proxy) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		r.silent[c] = true
	}
}

func (r *proxy) accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptedCount
}

func (r *proxy) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// Guards against waiting for dead connections. A firewall between the data centres drops the
// state of the open connections between the control VMs. They look open but carry nothing,
// while new connections work. Writes must continue on new connections, at the latest after one
// election.
func TestDeadConnections(t *testing.T) {
	c := newCluster(t, 0, nil)
	var proxies []*proxy
	for range 3 {
		h := c.addHost()
		r := newProxy(t, h.opts.Address)
		h.opts.Address = r.listener.Addr().String()
		c.peers[len(c.peers)-1] = h.opts.Address
		proxies = append(proxies, r)
	}
	for _, h := range c.hosts {
		h.opts.Peers = c.peers
		h.open()
	}
	c.found(3)
	for round := range 3 {
		c.put("k", "before")
		opened := 0
		for _, r := range proxies {
			opened -= r.accepted()
			r.silence()
		}
		start := time.Now()
		c.put("k", "after")
		t.Logf("round %d: a write was answered after %v", round, time.Since(start))
		for _, r := range proxies {
			opened += r.accepted()
		}
		assert.Assert(t, opened > 0)
	}
}
