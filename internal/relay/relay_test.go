package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// echoServer is a backend server that sends back what it receives and then ends its connections, or
// resets them if isBroken is set.
type echoServer struct {
	listener net.Listener
	isBroken atomic.Bool
	// closed receives a value when a connection has ended.
	closed chan struct{}
}

func startEcho(t *testing.T) *echoServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	e := &echoServer{listener: l, closed: make(chan struct{}, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *echoServer) address() string { return e.listener.Addr().String() }

func (e *echoServer) serve(c net.Conn) {
	defer func() { e.closed <- struct{}{} }()
	defer func() { _ = c.Close() }()
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, line)
	if e.isBroken.Load() {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// testPeer is an entry that relays.
type testPeer struct {
	Peer
	server         *Server
	dials          atomic.Int64
	isCutOff       atomic.Bool
	refusesServers atomic.Bool
	hasNoLinks     atomic.Bool
	outcomes       chan Outcome
}

func startPeer(t *testing.T, id, dataCentre string) *testPeer {
	t.Helper()
	p := &testPeer{outcomes: make(chan Outcome, 16)}
	p.server = NewServer(ServerOptions{
		IsServer: func(address string) bool { return !strings.HasPrefix(address, "10.") },
		IsCutOff: p.isCutOff.Load,
		HasLinks: func(context.Context, string) bool { return !p.hasNoLinks.Load() },
		Begin:    func() (func(), bool) { return func() {}, true },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			p.dials.Add(1)
			if p.refusesServers.Load() {
				return nil, syscall.ECONNREFUSED
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		},
		Logger: log.NewNopLogger(), OnEnd: func(o Outcome) { p.outcomes <- o },
	})
	s := httptest.NewServer(p.server)
	t.Cleanup(func() {
		p.server.Close()
		s.Close()
	})
	p.Peer = Peer{ID: id, Address: s.Listener.Addr().String(), DataCentre: dataCentre}
	return p
}

func newTestDialer(peers ...*testPeer) *Dialer {
	d := NewDialer(DialerOptions{Entry: "self", DataCentre: "near", Dial: new(net.Dialer).DialContext})
	list := make([]Peer, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.Peer)
	}
	d.SetPeers(list)
	return d
}

func exchange(t *testing.T, c net.Conn, line string) (string, error) {
	t.Helper()
	_, err := io.WriteString(c, line+"\n")
	assert.NilError(t, err)
	data, err := io.ReadAll(c)
	return string(data), err
}

// Guards against a part of an answer that is taken for the whole: the backend server's connection is
// lost, or the peer is, in the middle of an answer that ends with its connection.
func TestLostRelayIsNoEndOfAnAnswer(t *testing.T) {
	server, peer := startEcho(t), startPeer(t, "p", "near")
	d := newTestDialer(peer)
	long := strings.Repeat("x", 3*maxPayload)
	c, err := d.Dial(t.Context(), server.address(), "r")
	assert.NilError(t, err)
	got, err := exchange(t, c, long)
	assert.NilError(t, err)
	assert.Equal(t, got, long+"\n")
	assert.Equal(t, <-peer.outcomes, OutcomeComplete)

	server.isBroken.Store(true)
	c, err = d.Dial(t.Context(), server.address(), "r")
	assert.NilError(t, err)
	_, err = exchange(t, c, "y")
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.Equal(t, <-peer.outcomes, OutcomeCut)

	server.isBroken.Store(false)
	c, err = d.Dial(t.Context(), server.address(), "r")
	assert.NilError(t, err)
	peer.server.Close()
	_, err = io.ReadAll(c)
	assert.Assert(t, err != nil)
}

// Guards against a backend server that works on for a caller that has left.
func TestServerSeesThatItsCallerHasLeft(t *testing.T) {
	server, peer := startEcho(t), startPeer(t, "p", "near")
	c, err := newTestDialer(peer).Dial(t.Context(), server.address(), "r")
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	<-server.closed
	assert.Equal(t, <-peer.outcomes, OutcomeClosed)
}

// Guards against relays through relays: an entry without links of its own must not connect for
// another one, so that two such entries can't send a request back and forth.
func TestCutOffEntryDoesNotRelay(t *testing.T) {
	server, cut := startEcho(t), startPeer(t, "cut", "near")
	cut.isCutOff.Store(true)
	_, err := newTestDialer(cut).Dial(t.Context(), server.address(), "r")
	assert.Assert(t, errors.Is(err, ErrNotConnected))
	assert.Equal(t, cut.dials.Load(), int64(0))
}

// Guards against an entry that connects its peers to any address.
func TestRelayConnectsToBackendServersOnly(t *testing.T) {
	peer := startPeer(t, "p", "near")
	_, err := newTestDialer(peer).Dial(t.Context(), "10.0.0.1:22", "r")
	assert.Assert(t, errors.Is(err, ErrNotConnected))
	assert.Equal(t, <-peer.outcomes, OutcomeUnknown)
	assert.Equal(t, peer.dials.Load(), int64(0))
}

// Guards against callers that are refused because the first peers asked are cut off as well, know
// of it or not, or don't answer.
func TestDialFindsThePeerThatReachesTheServer(t *testing.T) {
	server := startEcho(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	unaware, aware, sound := startPeer(t, "unaware", "near"), startPeer(t, "aware", "near"), startPeer(t, "sound", "far")
	unaware.refusesServers.Store(true)
	aware.isCutOff.Store(true)
	d := newTestDialer(unaware, aware, sound, &testPeer{Peer: Peer{ID: "silent", Address: silent.Addr().String(), DataCentre: "far"}})
	for range 3 {
		c, err := d.Dial(t.Context(), server.address(), "r")
		assert.NilError(t, err)
		assert.Equal(t, c.Peer, "sound")
		_ = c.Close()
	}
	assert.Assert(t, aware.dials.Load() == 0)
	assert.Assert(t, unaware.dials.Load() <= 1, "the peer that connected is asked first")
}

// Guards against a server that is taken for lost because some entries are cut off, and against one
// that is taken for reachable although all are refused.
func TestOnlyRefusalsOfAllPeersAreARefusal(t *testing.T) {
	server := startEcho(t)
	a, b := startPeer(t, "a", "near"), startPeer(t, "b", "far")
	a.refusesServers.Store(true)
	b.refusesServers.Store(true)
	_, err := newTestDialer(a, b).Dial(t.Context(), server.address(), "r")
	assert.Assert(t, errors.Is(err, ErrRefused))
	b.hasNoLinks.Store(true)
	_, err = newTestDialer(a, b).Dial(t.Context(), server.address(), "r")
	assert.Assert(t, errors.Is(err, ErrNotConnected), "its links refuse all connections")
	b.isCutOff.Store(true)
	_, err = newTestDialer(a, b).Dial(t.Context(), server.address(), "r")
	assert.Assert(t, errors.Is(err, ErrNotConnected))
	_, err = newTestDialer().Dial(t.Context(), server.address(), "r")
	assert.Assert(t, errors.Is(err, ErrNoPeer))
}

// Guards against an entry that relays without limit beside its own callers.
func TestRelaysAreLimited(t *testing.T) {
	server, peer := startEcho(t), startPeer(t, "p", "near")
	peer.server.taken = maxRelays
	_, err := newTestDialer(peer).Dial(t.Context(), server.address(), "r")
	assert.Assert(t, errors.Is(err, ErrNotConnected))
	assert.Equal(t, <-peer.outcomes, OutcomeBusy)
}

// Guards against more relays than the limit where all are asked for before one is connected.
func TestRelaysThatAreBeingConnectedAreLimited(t *testing.T) {
	const over = 3
	dialled, accept := make(chan struct{}, maxRelays+over), make(chan struct{})
	var outcomes sync.Map
	s := NewServer(ServerOptions{
		IsServer: func(string) bool { return true }, IsCutOff: func() bool { return false },
		HasLinks: func(context.Context, string) bool { return true }, Begin: func() (func(), bool) { return func() {}, true },
		Dial: func(context.Context, string, string) (net.Conn, error) {
			dialled <- struct{}{}
			<-accept
			return nil, syscall.ECONNREFUSED
		},
		Logger: log.NewNopLogger(), OnEnd: func(o Outcome) {
			count, _ := outcomes.LoadOrStore(o, new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
		},
	})
	ask := func() {
		s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, Path+"?"+paramServer+"=b:1", nil))
	}
	var asked sync.WaitGroup
	for range maxRelays {
		asked.Go(ask)
	}
	for range maxRelays {
		<-dialled
	}
	for range over {
		asked.Go(ask)
	}
	refused := func() int64 {
		count, _ := outcomes.LoadOrStore(OutcomeBusy, new(atomic.Int64))
		return count.(*atomic.Int64).Load()
	}
	for refused() < over {
		select {
		case <-dialled:
			t.Error("more relays than the limit")
			close(accept)
			return
		case <-time.After(time.Millisecond):
		}
	}
	close(accept)
	asked.Wait()
	assert.Assert(t, s.take(), "ended relays count")
}

// Guards against peers of one data centre alone being asked, as those nearby lose their links
// together, and against each entry asking the same peer first.
func TestPeersOfAllDataCentresAreAsked(t *testing.T) {
	var peers []Peer
	for _, id := range strings.Split("abcdefghijklmnopqrst", "") {
		peers = append(peers, Peer{ID: id, DataCentre: map[bool]string{true: "near", false: "far"}[id < "k"]})
	}
	first := map[string]bool{}
	for _, entry := range strings.Split("uvwxyz", "") {
		d := NewDialer(DialerOptions{Entry: entry, DataCentre: "near"})
		d.SetPeers(peers)
		asked := d.candidates(time.Now())
		assert.Equal(t, len(asked), maxPeersAsked)
		for i, p := range asked {
			assert.Equal(t, p.DataCentre, []string{"near", "far"}[i%2])
		}
		first[asked[0].ID] = true
	}
	assert.Assert(t, len(first) > 2, "%v", first)
}

// Guards against frames that are taken for payload, or the reverse, where reads are shorter.
func TestFramesSurviveShortReads(t *testing.T) {
	var wire bytes.Buffer
	out := newConn(bufferConn{&wire}, nil, "")
	want := strings.Repeat("0123456789", 5000)
	n, err := out.Write([]byte(want))
	assert.NilError(t, err)
	assert.Equal(t, n, len(want))
	assert.NilError(t, out.CloseWrite())
	in := newConn(nil, bufio.NewReader(iotest.OneByteReader(&wire)), "")
	got, err := io.ReadAll(in)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}

// bufferConn is a connection that writes to a buffer.
type bufferConn struct{ io.Writer }

func (bufferConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (bufferConn) Close() error                     { return nil }
func (bufferConn) LocalAddr() net.Addr              { return nil }
func (bufferConn) RemoteAddr() net.Addr             { return nil }
func (bufferConn) SetDeadline(time.Time) error      { return nil }
func (bufferConn) SetReadDeadline(time.Time) error  { return nil }
func (bufferConn) SetWriteDeadline(time.Time) error { return nil }
