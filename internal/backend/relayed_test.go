package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/relay"
)

// testLinks are the links of a client: directly to backend servers, and through one peer.
type testLinks struct {
	refused, hung   atomic.Bool
	direct, relayed atomic.Int64
	dialer          *relay.Dialer
	// repeats is how often a dial through the peer is repeated. A peer without processor time does
	// not answer within the limit of a dial.
	repeats int
}

func (l *testLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.direct.Add(1)
	if l.hung.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l.refused.Load() {
		return nil, syscall.ECONNREFUSED
	}
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &hangingConn{Conn: conn, links: l}, nil
}

// hangingConn carries nothing while the links hang.
type hangingConn struct {
	net.Conn
	links *testLinks
}

func (c *hangingConn) Write(p []byte) (int, error) {
	if c.links.hung.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Dial counts and makes the dials through the peer.
func (l *testLinks) Dial(ctx context.Context, address, request string) (*relay.Conn, error) {
	l.relayed.Add(1)
	conn, err := l.dialer.Dial(ctx, address, request)
	for n := 0; err != nil && n < l.repeats; n++ {
		conn, err = l.dialer.Dial(ctx, address, request)
	}
	return conn, err
}

// startRelayedClient returns a client that has one peer, and the address of a backend server that
// answers each call with its path.
func startRelayedClient(t *testing.T) (*HTTPClient, *testLinks, string) {
	t.Helper()
	peer := relay.NewServer(relay.ServerOptions{
		IsServer: func(string) bool { return true }, IsCutOff: func() bool { return false },
		HasLinks: func(context.Context, string) bool { return true },
		Begin:    func() (func(), bool) { return func() {}, true }, Dial: new(net.Dialer).DialContext, Logger: log.NewNopLogger(),
	})
	peerServer := httptest.NewServer(peer)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, r.URL.Path) }))
	l := &testLinks{dialer: relay.NewDialer(relay.DialerOptions{Entry: "self", Dial: new(net.Dialer).DialContext})}
	l.dialer.SetPeers([]relay.Peer{{ID: "peer", Address: peerServer.Listener.Addr().String()}})
	c := NewHTTPClient(Options{Dial: l.dial, Relay: l, DialTimeout: 50 * time.Millisecond, SuspectAfter: 100 * time.Millisecond})
	t.Cleanup(func() {
		c.Close()
		peer.Close()
		peerServer.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return c, l, server.Listener.Addr().String()
}

func callPath(c *HTTPClient, address, path string, fresh bool) (string, string, error) {
	peer := ""
	answer, err := c.Call(context.Background(), address, ServiceCall{
		Method: http.MethodGet, Path: path, NewConnection: fresh, OnRelay: func(p string) { peer = p },
	})
	if err != nil {
		return "", peer, err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	return string(data), peer, err
}

// Guards against calls that fail while this process's own links are refused or silent, and another
// entry reaches the server; and against calls that stay on that path.
func TestCallsGoThroughAPeerWhileLinksAreDown(t *testing.T) {
	for name, fault := range map[string]func(*testLinks) *atomic.Bool{
		"refused": func(l *testLinks) *atomic.Bool { return &l.refused },
		"hung":    func(l *testLinks) *atomic.Bool { return &l.hung },
	} {
		t.Run(name, func(t *testing.T) {
			c, l, address := startRelayedClient(t)
			l.repeats = 100
			// A check of a path that seems lost dials as well. No call waits for a header here.
			c.options.SuspectAfter = time.Hour
			down := fault(l)
			down.Store(true)
			began := time.Now()
			for _, fresh := range []bool{true, false, true} {
				got, peer, err := callPath(c, address, "/x", fresh)
				assert.NilError(t, err)
				assert.Equal(t, got, "/x")
				assert.Equal(t, peer, "peer")
			}
			checks := int64(time.Since(began) / pathCheckInterval)
			assert.Assert(t, l.direct.Load() <= timeoutsToRelay+checks, "later calls take the path that worked")
			assert.Equal(t, c.RelayedServers(), 1)
			down.Store(false)
			for {
				_, peer, err := callPath(c, address, "/x", false)
				assert.NilError(t, err)
				if peer == "" {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			assert.Equal(t, c.RelayedServers(), 0)
		})
	}
}

// Guards against a call that is sent a second time after a part of it was sent.
func TestCallThatWasSentTakesNoSecondPath(t *testing.T) {
	c, l, _ := startRelayedClient(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_ = conn.Close()
		}
	}()
	_, _, err = callPath(c, listener.Addr().String(), "/x", true)
	var call *CallError
	assert.Assert(t, errors.As(err, &call))
	assert.Equal(t, call.Stage, StageUnknown)
	assert.Equal(t, l.relayed.Load(), int64(0))
}

// Guards against a refusal that says less than is known, or comes late, while no entry reaches a
// backend server.
func TestCallThatNobodyCanMakeFailsAtOnceAsNotSent(t *testing.T) {
	c, l, _ := startRelayedClient(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gone := listener.Addr().String()
	assert.NilError(t, listener.Close())
	for n := range 3 {
		_, _, err := callPath(c, gone, "/x", n%2 == 0)
		var call *CallError
		assert.Assert(t, errors.As(err, &call))
		assert.Equal(t, call.Stage, StageNotSent)
		assert.Assert(t, n == 0 || errors.Is(err, ErrNotReached), "%v", err)
	}
	assert.Equal(t, l.direct.Load(), int64(1))
	assert.Equal(t, l.relayed.Load(), int64(1))
	assert.Assert(t, c.IsUnreachable(gone))

	again, err := net.Listen("tcp", gone)
	assert.NilError(t, err)
	defer func() { _ = again.Close() }()
	for c.IsUnreachable(gone) {
		time.Sleep(time.Millisecond)
	}
}

// Guards against calls that wait for their deadline on an open connection that has gone silent with
// the links of this process.
func TestCallOnSilentLinkEndsEarly(t *testing.T) {
	c, l, address := startRelayedClient(t)
	_, _, err := callPath(c, address, "/first", false)
	assert.NilError(t, err)
	l.hung.Store(true)
	_, _, err = callPath(c, address, "/second", false)
	assert.Assert(t, errors.Is(err, errPathLost), "%v", err)
	var call *CallError
	assert.Assert(t, errors.As(err, &call))
	assert.Equal(t, call.Stage, StageUnknown)
	_, peer, err := callPath(c, address, "/third", false)
	assert.NilError(t, err)
	assert.Equal(t, peer, "peer")
}

// Guards against the state of this process's links being taken for that of a server.
func TestProbeAsksPeers(t *testing.T) {
	c, l, address := startRelayedClient(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gone := listener.Addr().String()
	assert.NilError(t, listener.Close())
	assert.Equal(t, c.ProbeListener(t.Context(), address).State, Listening)
	assert.Equal(t, l.relayed.Load(), int64(0), "peers are asked only when the own link fails")
	l.refused.Store(true)
	assert.Equal(t, c.ProbeListener(t.Context(), address).State, ListeningToPeers)
	assert.Equal(t, c.ProbeListener(t.Context(), gone).State, NotListening)
	l.refused.Store(false)
	l.hung.Store(true)
	assert.Equal(t, c.ProbeListener(t.Context(), address).State, ListeningToPeers)
	assert.Equal(t, c.ProbeListener(t.Context(), gone).State, NotListening)
	l.dialer.SetPeers(nil)
	assert.Equal(t, c.ProbeListener(t.Context(), address).State, ListenUnknown, "without peers")
	l.refused.Store(true)
	l.hung.Store(false)
	assert.Equal(t, c.ProbeListener(t.Context(), address).State, NotListening, "without peers")
}

// Guards against crashes that nobody can confirm while a peer is absent, and against a server that is
// taken for gone on the word of one entry.
func TestAbsentPeersChangeNothing(t *testing.T) {
	refused, absent := []string{"a"}, []string{"b:silent", "c:cut_off"}
	for _, c := range []struct {
		own   ListenState
		peers relay.PeerAnswers
		want  ListenState
	}{
		{NotListening, relay.PeerAnswers{Refused: refused, Absent: absent}, NotListening},
		{ListenUnknown, relay.PeerAnswers{Refused: []string{"a", "d"}, Absent: absent}, NotListening},
		{NotListening, relay.PeerAnswers{Absent: absent}, RefusedOnce},
		{ListenUnknown, relay.PeerAnswers{Refused: refused, Absent: absent}, RefusedOnce},
		{ListenUnknown, relay.PeerAnswers{Refused: refused}, NotListening},
		{NotListening, relay.PeerAnswers{}, NotListening},
		{ListenUnknown, relay.PeerAnswers{Absent: absent}, ListenUnknown},
		{ListenUnknown, relay.PeerAnswers{}, ListenUnknown},
	} {
		assert.Equal(t, combineRefusals(c.own, c.peers), c.want, "%+v", c)
	}
}

// Guards against an answer that is not passed on because its path was checked in vain.
func TestSlowServerIsNotTakenForASilentLink(t *testing.T) {
	c, l, _ := startRelayedClient(t)
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "late")
	}))
	defer slow.Close()
	defer slow.CloseClientConnections()
	got, peer, err := callPath(c, strings.TrimPrefix(slow.URL, "http://"), "/x", false)
	assert.NilError(t, err)
	assert.Equal(t, got+peer, "late")
	assert.Equal(t, l.relayed.Load(), int64(0))
}
