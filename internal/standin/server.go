package standin

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// loopbackAnyPort is the default listen address of a stand-in.
const loopbackAnyPort = "127.0.0.1:0"

// readHeaderTimeout bounds the time for reading a request header.
const readHeaderTimeout = 5 * time.Second

// server is the listener of a stand-in, with faults at the connection level. It can be killed
// and restarted on the same address.
type server struct {
	handler http.Handler
	gate    gate

	mu      sync.Mutex
	address string
	http    *http.Server
	conns   map[*faultConn]struct{}
	served  sync.WaitGroup
}

func newServer(handler http.Handler) *server {
	return &server{handler: handler, conns: map[*faultConn]struct{}{}}
}

// listen starts serving on address and records the address with its port, so that a restart can
// reuse it. The contexts of handlers derive from ctx.
func (s *server) listen(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotate(err, "stand-in listening")
	}
	h := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
	s.mu.Lock()
	s.address = listener.Addr().String()
	s.http = h
	s.mu.Unlock()
	s.served.Add(1)
	go func() {
		defer s.served.Done()
		_ = h.Serve(&faultListener{Listener: listener, server: s})
	}()
	return nil
}

func (s *server) addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// kill closes the listener and all connections immediately.
func (s *server) kill() {
	s.mu.Lock()
	h := s.http
	open := make([]*faultConn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	if h != nil {
		_ = h.Close()
	}
	for _, c := range open {
		_ = c.Close()
	}
	s.served.Wait()
}

// silence makes every open connection silent for good. New connections work normally.
func (s *server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

func (s *server) removeConn(c *faultConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

type faultListener struct {
	net.Listener
	server *server
}

// Accept returns a connection that is subject to the faults of the server.
func (l *faultListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultConn{Conn: accepted, server: l.server, done: make(chan struct{})}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}
