// Package hearing takes the announcements of backend servers and exchanges
// what was heard with the other entries.
package hearing

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/auth"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// maxAnnouncement bounds what a backend server may send at once, in bytes.
const maxAnnouncement = 64 << 10

// Options are what a Hearing is made of.
type Options struct {
	// Self is the entry's id.
	Self string
	// Board returns the newest board.
	Board func() *blackboard.Board
	// Lease returns how long this process may go on serving.
	Lease func() time.Duration
	// HTTPClient carries the secret between our processes.
	HTTPClient *http.Client
	// AnnounceToken is the token that backend servers announce with; empty
	// accepts any.
	AnnounceToken string
	Logger        log.Logger
	// OnAnnouncement is called with each announcement heard here.
	OnAnnouncement func(backend.Announcement)
}

// Hearing holds one process's evidence. It is safe for concurrent use.
type Hearing struct {
	o Options

	mu    sync.Mutex
	table *evidence.Table

	peersMu sync.Mutex
	peers   map[string]*peer
}

type peer struct {
	address string
	client  noderpc.Entries
	cursor  evidence.Cursor
	asking  atomic.Bool
}

// New returns a Hearing that has heard nothing.
func New(o Options) *Hearing {
	run := uint64(time.Now().UnixNano())
	return &Hearing{o: o, table: evidence.NewTable(o.Self, run), peers: make(map[string]*peer)}
}

// With calls f with the table; no one else changes it meanwhile.
func (h *Hearing) With(f func(*evidence.Table)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.table)
}

// ServeHTTP takes one announcement.
func (h *Hearing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !auth.Allowed(r.Header, h.o.AnnounceToken) {
		failure.Write(w, failure.New(failure.TypeUnauthenticated, "the announce token is needed"))
		return
	}
	if h.o.Lease() <= 0 {
		failure.Write(w, cutOff())
		return
	}
	var a backend.Announcement
	body := http.MaxBytesReader(w, r.Body, maxAnnouncement)
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		failure.Write(w, failure.New(failure.TypeBadRequest, "announcement: "+err.Error()))
		return
	}
	if e := check(a); e != nil {
		failure.Write(w, e)
		return
	}
	h.hear(a)
	w.Header().Set("Content-Type", "application/json")
	// A backend server that is gone announces again elsewhere.
	_ = json.NewEncoder(w).Encode(backend.AnnounceReply{
		IntervalMillis: evidence.AnnounceInterval.Milliseconds(),
		Entries:        h.addresses(),
	})
}

// cutOff sends a backend server to another entry.
//
// Failure: an entry is cut off from the other processes, and an engine goes on
// announcing itself to it alone; all others take the engine for dead. Refused,
// it announces itself to another entry at once.
func cutOff() *failure.Error {
	return failure.New(failure.TypeConfigurationStale, "this entry has lost the control processes; announce to another")
}

// check refuses what can't be used. What it can't check is whether the sender
// is who it says: docs/backend-protocol.md tells what that means.
func check(a backend.Announcement) *failure.Error {
	if a.ID == "" || a.Incarnation == "" || a.Address == "" {
		return failure.New(failure.TypeBadRequest, "an announcement needs id, incarnation and address")
	}
	if a.Kind != backend.KindEngine && a.Kind != backend.KindService {
		return failure.New(failure.TypeBadRequest, "kind must be engine or service").WithDetail("kind")
	}
	if a.Kind == backend.KindService && a.Service == "" {
		return failure.New(failure.TypeBadRequest, "a service needs its name").WithDetail("service")
	}
	return nil
}

func (h *Hearing) hear(a backend.Announcement) {
	h.mu.Lock()
	h.table.Hear(time.Now(), h.o.Self, a)
	h.mu.Unlock()
	if h.o.OnAnnouncement != nil {
		h.o.OnAnnouncement(a)
	}
}

func (h *Hearing) addresses() []string {
	var list []string
	for _, e := range h.o.Board().Entries {
		list = append(list, e.Address)
	}
	return list
}

// Run asks peers for their digests until the context ends.
func (h *Hearing) Run(ctx context.Context) {
	ticker := time.NewTicker(evidence.DigestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.witnessSelf()
			h.askPeers(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// witnessSelf keeps the table's clock going on a process without peers.
func (h *Hearing) witnessSelf() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Digest(time.Now(), evidence.Cursor{})
}

// Digest answers a peer.
func (h *Hearing) Digest(_ context.Context, r *noderpc.DigestRequest) (*noderpc.DigestReply, error) {
	h.mu.Lock()
	lines, next := h.table.Digest(time.Now(), evidence.Cursor{Run: r.Run, Number: r.After})
	h.mu.Unlock()
	data, err := json.Marshal(lines)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &noderpc.DigestReply{Source: h.o.Self, Run: next.Run, Cursor: next.Number, Lines: data}, nil
}

// digestTimeout ends a call on a silent connection. It must be shorter than
// the age at which evidence is too old to route by.
const digestTimeout = 500 * time.Millisecond

// askPeers asks each peer that has no call open. One silent peer must not
// delay the others, nor this process's own digests.
func (h *Hearing) askPeers(ctx context.Context) {
	for _, p := range h.currentPeers() {
		if !p.asking.CompareAndSwap(false, true) {
			continue
		}
		go func() {
			defer p.asking.Store(false)
			h.ask(ctx, p)
		}()
	}
}

func (h *Hearing) currentPeers() []*peer {
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	var list []*peer
	entries := h.o.Board().Entries
	for id, e := range entries {
		if id == h.o.Self || e.PeerAddress == "" {
			continue
		}
		p, ok := h.peers[id]
		if !ok || p.address != e.PeerAddress {
			p = &peer{address: e.PeerAddress, client: noderpc.NewEntriesProtobufClient("http://"+e.PeerAddress, h.o.HTTPClient)}
			h.peers[id] = p
		}
		list = append(list, p)
	}
	for id := range h.peers {
		if _, ok := entries[id]; !ok {
			delete(h.peers, id)
		}
	}
	return list
}

func (h *Hearing) ask(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	asked := time.Now()
	reply, err := p.client.Digest(ctx, &noderpc.DigestRequest{Source: h.o.Self, Run: p.cursor.Run, After: p.cursor.Number})
	if err != nil {
		_ = level.Debug(h.o.Logger).Log("event", "digest_failed", "peer", p.address, "err", err)
		return
	}
	var lines []evidence.Heard
	if err := json.Unmarshal(reply.Lines, &lines); err != nil {
		_ = level.Warn(h.o.Logger).Log("event", "digest_malformed", "peer", p.address, "err", err)
		return
	}
	p.cursor = evidence.Cursor{Run: reply.Run, Number: reply.Cursor}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Merge(asked, reply.Source, lines)
}
