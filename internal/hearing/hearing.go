// Package hearing takes the announcements of backend servers and exchanges
// what was heard with the other entries.
package hearing

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/citronstep/citronstep/internal/auth"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/failure"
)

// maxColdMillis bounds for how long a backend server may say that it is cold: one hour.
const maxColdMillis = 60 * 60 * 1000

// maxAnnouncementBytes bounds what a backend server may send at once, in bytes.
const maxAnnouncementBytes = 64 << 10

// Options are what a Hearing is made of.
type Options struct {
	// Self is the entry's id.
	Self string
	// Board returns the newest board.
	Board func() *blackboard.Board
	// Lease returns how long this process may go on serving.
	Lease func() time.Duration
	// Dial connects to another entry.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// PeerToken is the bearer token between our processes.
	PeerToken string
	// AnnounceToken is the token that backend servers announce with; empty
	// accepts any.
	AnnounceToken string
	Logger        log.Logger
	// Interval is the time between two announcements of a backend server; 0 is
	// evidence.AnnounceInterval.
	Interval time.Duration
	// OnChange is called when an announcement taken by Announce says something
	// new of a group; nil if nobody needs to know.
	OnChange func()
	// OnAnnouncement is called with each announcement heard here.
	OnAnnouncement func(backend.Announcement)
}

// Hearing holds one process's evidence. It is safe for concurrent use.
type Hearing struct {
	o Options

	mu        sync.Mutex
	table     *evidence.Table
	receivers receiverList

	exchange *exchange
	limiter  *announceLimiter
}

// New returns a Hearing that has heard nothing.
func New(o Options) *Hearing {
	run := uint64(time.Now().UnixNano())
	h := &Hearing{o: o, table: evidence.NewTable(o.Self, run), limiter: newAnnounceLimiter()}
	if o.Interval > 0 {
		h.table.SetInterval(o.Interval)
	}
	h.exchange = newExchange(h)
	return h
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
		failure.Write(w, cutOffError())
		return
	}
	var a backend.Announcement
	body := http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		failure.Write(w, failure.New(failure.TypeBadRequest, "announcement: "+err.Error()))
		return
	}
	if e := validate(a); e != nil {
		failure.Write(w, e)
		return
	}
	if e := h.limiter.allow(time.Now(), a.ID); e != nil {
		failure.Write(w, e)
		return
	}
	h.record(a)
	w.Header().Set("Content-Type", "application/json")
	// A backend server that is gone announces again elsewhere.
	_ = json.NewEncoder(w).Encode(backend.AnnounceReply{
		IntervalMillis: h.interval().Milliseconds(),
		Entries:        h.entryAddresses(),
	})
}

// cutOff sends a backend server to another entry.
//
// Failure: an entry is cut off from the other processes, and an engine goes on
// announcing itself to it alone; all others take the engine for dead. Refused,
// it announces itself to another entry at once.
func cutOffError() *failure.Error {
	return failure.New(failure.TypeConfigurationStale, "this entry has lost the control processes; announce to another")
}

// check refuses what can't be used. What it can't check is whether the sender
// is who it says: docs/backend-protocol.md tells what that means.
func validate(a backend.Announcement) *failure.Error {
	if a.ID == "" || a.Incarnation == "" || a.Address == "" {
		return failure.New(failure.TypeBadRequest, "an announcement needs id, incarnation and address")
	}
	if a.Kind != backend.KindEngine && a.Kind != backend.KindService {
		return failure.New(failure.TypeBadRequest, "kind must be engine or service").WithDetail("kind")
	}
	if a.Kind == backend.KindService && a.Service == "" {
		return failure.New(failure.TypeBadRequest, "a service needs its name").WithDetail("service")
	}
	if a.ColdMillis < 0 || a.ColdMillis > maxColdMillis {
		return failure.New(failure.TypeBadRequest, "cold_ms is 0 to 3600000").WithDetail("cold_ms")
	}
	return nil
}

// Announce takes an announcement that an adapter has decoded.
func (h *Hearing) Announce(a backend.Announcement) *failure.Error {
	if h.o.Lease() <= 0 {
		return cutOffError()
	}
	if e := validate(a); e != nil {
		return e
	}
	changed := h.changesGroup(a)
	h.record(a)
	if changed && h.o.OnChange != nil {
		h.o.OnChange()
	}
	if changed && h.isSpread() {
		h.exchange.push()
	}
	return nil
}

// news tells whether an announcement differs from what was known in a way that
// the controllers wait for.
func (h *Hearing) changesGroup(a backend.Announcement) (changed bool) {
	h.With(func(t *evidence.Table) {
		r, known := t.Get(a.ID)
		if a.Kind == backend.KindService {
			r, known = t.GetService(a.ID)
		}
		changed = !known || r.Incarnation != a.Incarnation || r.Group != a.Group || r.Epoch != a.Epoch ||
			r.Phase != a.Phase || r.Leaving != a.Leaving || (a.ColdMillis > 0 && r.ColdMillis == 0)
	})
	return changed
}

// Left takes the goodbye of a backend server that an adapter has decoded; is tells
// which incarnations it speaks for.
func (h *Hearing) Left(is func(incarnation string) bool) *failure.Error {
	if h.o.Lease() <= 0 {
		return cutOffError()
	}
	known := false
	h.With(func(t *evidence.Table) { known = t.Left(time.Now(), h.o.Self, is) })
	if !known {
		return failure.New(failure.TypeUnavailable, "the backend server has not been heard here; tell another process")
	}
	return nil
}

func (h *Hearing) record(a backend.Announcement) {
	h.mu.Lock()
	h.table.Hear(time.Now(), h.o.Self, a)
	h.mu.Unlock()
	if h.o.OnAnnouncement != nil {
		h.o.OnAnnouncement(a)
	}
}

func (h *Hearing) interval() (d time.Duration) {
	h.With(func(t *evidence.Table) { d = t.Interval() })
	return d
}

func (h *Hearing) entryAddresses() []string {
	var list []string
	for _, e := range h.o.Board().Entries {
		list = append(list, e.Address)
	}
	return list
}

// Run exchanges what was heard with the other entries until the context ends.
// All its connections have ended when it returns.
func (h *Hearing) Run(ctx context.Context) {
	h.exchange.start(ctx)
	defer h.exchange.stop()
	ticker := time.NewTicker(evidence.ObserveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.tickTable()
			h.exchange.reconcile()
		case <-ctx.Done():
			return
		}
	}
}

// tickTable keeps the table's clock going on a process without peers.
func (h *Hearing) tickTable() {
	h.With(func(t *evidence.Table) { t.Digest(time.Now(), evidence.Cursor{}) })
}
