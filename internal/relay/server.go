package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/duplex"
)

const (
	// maxRelays bounds the connections that an entry relays at a time, and so the memory and the
	// file descriptors that its peers use here, beside its own callers.
	maxRelays = 512
	// serverDialTimeout bounds the dial to a backend server. Its peer gives up soon after.
	serverDialTimeout = 200 * time.Millisecond
	// upBuffer and downBuffer are the buffers of one relay towards the backend server and from it,
	// in bytes.
	upBuffer   = 4 << 10
	downBuffer = maxPayload
	// lingerTimeout is how long a relay whose backend server has ended its stream stays open for a peer that sends
	// nothing and does not close it.
	lingerTimeout = time.Second
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// IsServer reports whether an address is that of a backend server.
	IsServer func(address string) bool
	// IsCutOff reports whether this entry reaches backend servers only through peers.
	IsCutOff func() bool
	// HasLinks reports whether this entry reaches a backend server that is not at an address. It is
	// asked before the peer is told that the address refused the connection.
	HasLinks func(ctx context.Context, beside string) bool
	// Begin counts a relay as work that a graceful stop waits for. It returns false once no new
	// work is admitted; otherwise the returned function ends the work.
	Begin func() (end func(), ok bool)
	// Dial connects to a backend server.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger log.Logger
	// OnEnd receives how each request for a relay ended; nil for none.
	OnEnd func(Outcome)
}

// Server relays connections for the other entries.
type Server struct {
	o ServerOptions

	mu sync.Mutex
	// taken counts the open relays and those that are being connected.
	taken int
	// open holds both ends of the open relays.
	open map[*pair]struct{}
	// isClosed is set by Close.
	isClosed bool
}

// pair is the two connections of a relay.
type pair struct {
	peer   *Conn
	server *duplex.Conn
	// isClosed is set once the peer has closed the relay; isLingering once the backend server has ended its stream.
	isClosed, isLingering atomic.Bool
}

// NewServer returns a Server.
func NewServer(o ServerOptions) *Server {
	if o.OnEnd == nil {
		o.OnEnd = func(Outcome) {}
	}
	return &Server{o: o, open: make(map[*pair]struct{})}
}

// Open returns the number of open relays.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Close ends all relays, also those that are being accepted.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for p := range s.open {
		_ = p.peer.Close()
		_ = p.server.Close()
	}
}

// ServeHTTP connects to the named backend server and relays the connection until either end closes
// it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	address := r.URL.Query().Get(paramServer)
	outcome := s.serve(w, r, address)
	s.o.OnEnd(outcome)
	_ = level.Info(s.o.Logger).Log("event", "relay_ended", "request", r.Header.Get(headerRequest), "for", r.Header.Get(headerEntry),
		"server", address, "outcome", outcome, "took_ms", time.Since(began).Milliseconds())
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, address string) Outcome {
	end, ok := s.o.Begin()
	if !ok || !s.o.IsServer(address) {
		if ok {
			end()
		}
		refuse(w, OutcomeUnknown)
		return OutcomeUnknown
	}
	defer end()
	if s.o.IsCutOff() {
		refuse(w, OutcomeCutOff)
		return OutcomeCutOff
	}
	if !s.take() {
		refuse(w, OutcomeBusy)
		return OutcomeBusy
	}
	defer s.giveBack()
	ctx, cancel := context.WithTimeout(r.Context(), serverDialTimeout)
	server, err := s.o.Dial(ctx, "tcp", address)
	cancel()
	if err != nil {
		outcome := dialOutcome(err)
		if outcome == OutcomeRefused && !s.o.HasLinks(r.Context(), address) {
			outcome = OutcomeCutOff
		}
		refuse(w, outcome)
		return outcome
	}
	defer func() { _ = server.Close() }()
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return OutcomeCut
	}
	p := &pair{peer: newConn(conn, bufio.NewReaderSize(buffered.Reader, readBuffer), ""), server: duplex.New(server)}
	defer func() { _ = p.peer.Close() }()
	if !s.add(p) {
		return OutcomeCut
	}
	defer s.remove(p)
	if accept(conn) != nil {
		return OutcomeCut
	}
	return relay(p)
}

// take reports whether one more relay is allowed, and counts it until giveBack.
//
// Load: hundreds of entries lose their links at once, and their dials wait here for backend servers
// at the same time. Relays that are counted once they are open would exceed the limit together.
func (s *Server) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.taken >= maxRelays {
		return false
	}
	s.taken++
	return true
}

func (s *Server) giveBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken--
}

// add records an open relay, so that Close ends it. It returns false after Close.
func (s *Server) add(p *pair) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.open[p] = struct{}{}
	return true
}

func (s *Server) remove(p *pair) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, p)
}

// accept upgrades the connection of a request for a relay.
func accept(conn net.Conn) error {
	// The HTTP server may have set deadlines for the request.
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	const answer = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + upgradeToken + "\r\n\r\n"
	_, err := io.WriteString(conn, answer)
	return err
}

// relay copies both directions until the backend server's stream or the peer's connection ends. After the server's
// stream it waits for the peer to close the relay.
func relay(p *pair) Outcome {
	upEnded := make(chan struct{})
	go func() {
		defer close(upEnded)
		copyUp(p)
	}()
	outcome := copyDown(p)
	_ = p.server.Close()
	if outcome != OutcomeClosed {
		p.linger()
		<-upEnded
	}
	_ = p.peer.Close()
	<-upEnded
	return outcome
}

// linger ends the peer's direction and has copyUp read on, until the peer closes the relay or sends nothing for
// lingerTimeout. It closes a connection to the peer whose direction can't be ended alone.
//
// Failure: a backend server answers before it has read the request, which the peer is still writing. The kernel resets
// a connection that is closed with unread bytes, and the peer loses a complete answer.
func (p *pair) linger() {
	half, ok := p.peer.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		_ = p.peer.Close()
		return
	}
	p.isLingering.Store(true)
	p.extendLinger()
}

// extendLinger waits for the peer for another lingerTimeout.
func (p *pair) extendLinger() {
	// The deadline can't be set on a closed connection, whose reads end by themselves.
	_ = p.peer.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// copyUp copies from the peer to the backend server. It closes the connection to the backend
// server when the peer is gone, so that the server stops work that nobody waits for.
func copyUp(p *pair) {
	_, err := io.CopyBuffer(&upWriter{pair: p}, onlyReader{p.peer}, make([]byte, upBuffer))
	if half, ok := p.server.Conn.(interface{ CloseWrite() error }); err == nil && ok {
		_ = half.CloseWrite()
		return
	}
	p.isClosed.Store(true)
	_ = p.server.Close()
}

// upWriter writes to the backend server until that fails or the server has ended its stream, and then discards. It
// returns no error: copyDown finds the loss of the connection behind what the server sent before.
type upWriter struct {
	*pair
	hasFailed bool
}

func (w *upWriter) Write(b []byte) (int, error) {
	switch {
	case w.isLingering.Load():
		w.extendLinger()
	case !w.hasFailed:
		_, err := w.server.Write(b)
		w.hasFailed = err != nil
	}
	return len(b), nil
}

// copyDown copies from the backend server to the peer. It ends the peer's stream only if the
// backend server has ended its own.
func copyDown(p *pair) Outcome {
	_, err := io.CopyBuffer(onlyWriter{p.peer}, onlyReader{p.server}, make([]byte, downBuffer))
	switch {
	case p.isClosed.Load():
		return OutcomeClosed
	case err != nil:
		return OutcomeCut
	case p.peer.CloseWrite() != nil:
		return OutcomeClosed
	}
	return OutcomeComplete
}

// onlyReader and onlyWriter hide the methods with which io.CopyBuffer would allocate buffers of
// its own.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)
