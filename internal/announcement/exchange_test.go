package announcement

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronstep/citronstep/internal/auth"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/evidence/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const token = "secret"

// lossy is a connection that can drop the data it writes or reads while both sides
// stay open.
type lossy struct {
	net.Conn
	loseWrites, loseReads atomic.Bool
	read, written         *atomic.Int64
}

func (l *lossy) Write(b []byte) (int, error) {
	if l.loseWrites.Load() {
		return len(b), nil
	}
	n, err := l.Conn.Write(b)
	l.written.Add(int64(n))
	return n, err
}

func (l *lossy) Read(b []byte) (int, error) {
	for {
		n, err := l.Conn.Read(b)
		if err == nil && l.loseReads.Load() {
			continue
		}
		l.read.Add(int64(n))
		return n, err
	}
}

// process is one Receiver with its listener.
type process struct {
	*Receiver
	id            string
	server        *httptest.Server
	cancel        context.CancelFunc
	done          chan struct{}
	read, written atomic.Int64

	mu    sync.Mutex
	conns []*lossy
}

func (p *process) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l := &lossy{Conn: conn, read: &p.read, written: &p.written}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, l)
	return l, nil
}

// dialledConns returns the connections dialled so far.
func (p *process) dialledConns() []*lossy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

// startProcesses starts n processes that are registered on the same board.
func startProcesses(t *testing.T, n int) []*process {
	t.Helper()
	board := blackboard.New()
	list := make([]*process, n)
	for i := range list {
		p := &process{id: "n" + strconv.Itoa(i), done: make(chan struct{})}
		p.Receiver = New(Options{
			Self: p.id, Board: func() *blackboard.Board { return board }, Dial: p.dial,
			PeerToken: token, Logger: log.NewNopLogger(),
		})
		mux := http.NewServeMux()
		mux.HandleFunc(PathExchange, p.ServeExchange)
		p.server = httptest.NewServer(auth.RequireToken(token, mux))
		board.Entries[p.id] = blackboard.Entry{ID: p.id, PeerAddress: p.server.Listener.Addr().String()}
		list[i] = p
	}
	for _, p := range list {
		ctx, cancel := context.WithCancel(context.Background())
		p.cancel = cancel
		go func() {
			defer close(p.done)
			p.Run(ctx)
		}()
		t.Cleanup(p.stop)
	}
	return list
}

func (p *process) stop() {
	p.cancel()
	<-p.done
	p.server.Close()
}

func (p *process) announce(vm string, sequence uint64) { p.announceLoad(vm, sequence, nil) }

func (p *process) announceLoad(vm string, sequence uint64, load *backend.Load) {
	p.record(backend.Announcement{
		ID: vm, Kind: backend.KindEngine, Incarnation: "x", Sequence: sequence, Group: "demo-0", Epoch: 7,
		Phase: backend.PhaseReady, Address: "10.0.0.1:1", Load: load,
	})
}

// await waits until the table of p satisfies ok.
func (p *process) await(t *testing.T, what string, ok func(*evidence.Table) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		met := false
		p.WithTable(func(table *evidence.Table) { met = ok(table) })
		if met {
			return poll.Success()
		}
		return poll.Continue("%s: %s", p.id, what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

func hasSequence(vm string, sequence uint64) func(*evidence.Table) bool {
	return func(table *evidence.Table) bool {
		r, ok := table.Get(vm)
		return ok && r.Sequence == sequence
	}
}

func hasRecentDigest(id string) func(*evidence.Table) bool {
	return func(table *evidence.Table) bool { return table.HasRecentDigest(time.Now(), id, evidence.MaxDigestAge) }
}

func not(ok func(*evidence.Table) bool) func(*evidence.Table) bool {
	return func(table *evidence.Table) bool { return !ok(table) }
}

// Entries without backend servers still receive each other's digests. An announcement
// to one entry reaches the others over the single connection of each pair.
func TestConnectionCarriesEvidenceBothWays(t *testing.T) {
	list := startProcesses(t, 3)
	for _, p := range list {
		for _, q := range list {
			p.await(t, "a recent digest of "+q.id, hasRecentDigest(q.id))
		}
	}
	list[0].announce("vm-0", 1)
	list[2].announce("vm-2", 1)
	for _, p := range list {
		p.await(t, "vm-0", hasSequence("vm-0", 1))
		p.await(t, "vm-2", hasSequence("vm-2", 1))
	}
	assert.Equal(t, len(list[2].dialledConns()), 0, "the greatest id dials no one")
}

// Failure: a middlebox drops the state of a connection between two entries. The
// connection stays open, delivers nothing, and routes stay closed. Each of three kinds
// of loss must be detected, and a new connection must deliver the missed announcements.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(*lossy)
	}{
		{"both ways", func(l *lossy) { l.loseReads.Store(true); l.loseWrites.Store(true) }},
		{"to the dialler", func(l *lossy) { l.loseReads.Store(true) }},
		{"from the dialler", func(l *lossy) { l.loseWrites.Store(true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := startProcesses(t, 2)
			list[0].announce("vm-0", 1)
			list[1].announce("vm-1", 1)
			list[1].await(t, "vm-0", hasSequence("vm-0", 1))
			list[0].await(t, "vm-1", hasSequence("vm-1", 1))
			before := list[0].dialledConns()
			c.lose(before[len(before)-1])
			list[0].announce("vm-0", 2)
			list[1].announce("vm-1", 2)
			list[1].await(t, "vm-0 again", hasSequence("vm-0", 2))
			list[0].await(t, "vm-1 again", hasSequence("vm-1", 2))
			assert.Assert(t, len(list[0].dialledConns()) > len(before))
		})
	}
}

// Failure: a leader counts a stopped peer among the peers with a recent digest.
func TestStoppedPeerHasNoRecentDigest(t *testing.T) {
	list := startProcesses(t, 2)
	list[0].await(t, "a recent digest of n1", hasRecentDigest("n1"))
	list[1].await(t, "a recent digest of n0", hasRecentDigest("n0"))
	list[0].cancel()
	<-list[0].done
	list[1].await(t, "no recent digest of n0", not(hasRecentDigest("n0")))
}

func upgrade(t *testing.T, p *process, change func(http.Header)) (net.Conn, *http.Response) {
	t.Helper()
	conn, err := net.Dial("tcp", p.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	r, err := http.NewRequest(http.MethodGet, p.server.URL+PathExchange, nil)
	assert.NilError(t, err)
	r.Header = http.Header{
		"Connection": {"Upgrade"}, "Upgrade": {protocol}, headerSource: {"n0"}, headerPeer: {p.id}, "Authorization": {"Bearer " + token},
	}
	change(r.Header)
	assert.NilError(t, r.Write(conn))
	reply, err := http.ReadResponse(bufio.NewReader(conn), r)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = reply.Body.Close() })
	return conn, reply
}

// The upgrade must refuse unauthenticated clients, unknown entries and requests meant
// for another entry, so that no evidence is attributed to the wrong entry.
func TestUpgradeIsValidated(t *testing.T) {
	p := startProcesses(t, 2)[1]
	for _, c := range []struct {
		name   string
		change func(http.Header)
		want   int
	}{
		{"no token", func(h http.Header) { h.Del("Authorization") }, http.StatusUnauthorized},
		{"a wrong token", func(h http.Header) { h.Set("Authorization", "Bearer x") }, http.StatusUnauthorized},
		{"no upgrade", func(h http.Header) { h.Del("Upgrade") }, http.StatusBadRequest},
		{"unknown entry", func(h http.Header) { h.Set(headerSource, "m") }, http.StatusConflict},
		{"itself", func(h http.Header) { h.Set(headerSource, "n1") }, http.StatusConflict},
		{"meant for another", func(h http.Header) { h.Set(headerPeer, "n2") }, http.StatusConflict},
		{"right", func(http.Header) {}, http.StatusSwitchingProtocols},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, reply := upgrade(t, p, c.change)
			assert.Equal(t, reply.StatusCode, c.want)
		})
	}
}

// An invalid frame must close its connection and leave all others open.
func TestInvalidFrameClosesTheConnection(t *testing.T) {
	p := startProcesses(t, 2)[1]
	for _, bytes := range [][]byte{
		{3, 0xff, 0xff, 0xff},
		binary.AppendUvarint(nil, wire.MaxFrame+1),
		{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		conn, reply := upgrade(t, p, func(http.Header) {})
		assert.Equal(t, reply.StatusCode, http.StatusSwitchingProtocols)
		_, err := conn.Write(bytes)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
		for err == nil {
			_, err = conn.Read(make([]byte, 64))
		}
		timeout, ok := errors.Cause(err).(net.Error)
		assert.Assert(t, !ok || !timeout.Timeout(), "%v", err)
	}
	p.await(t, "a recent digest of the valid peer", hasRecentDigest("n0"))
}

func TestFrameOverTheLimitIsNotRead(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	go func() { _, _ = client.Write(binary.AppendUvarint(nil, wire.MaxFrame+1)) }()
	_, err := readFrame(bufio.NewReader(server))
	assert.Assert(t, errors.Is(err, wire.ErrTooLarge), "%v", err)
}
