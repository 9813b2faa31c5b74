// Package announcement receives the announcements of backend servers and exchanges them
// with the other entries.
package announcement

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

// maxColdMillis bounds the slow-start period that a backend server may announce: one hour.
const maxColdMillis = 60 * 60 * 1000

// maxAnnouncementBytes bounds the body of one announcement.
const maxAnnouncementBytes = 64 << 10

// Options configures a Receiver.
type Options struct {
	// Self is the entry's id.
	Self string
	// Board returns the newest board.
	Board func() *blackboard.Board
	// Lease returns the remaining time of this process's configuration lease; 0 or
	// less if the lease has expired.
	Lease func() time.Duration
	// Dial connects to another entry.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// PeerToken is the bearer token for calls between the system's processes.
	PeerToken string
	// AnnounceToken is the bearer token that announcements must carry; empty
	// accepts any request.
	AnnounceToken string
	Logger        log.Logger
	// Interval is the time between two announcements of a backend server; 0 means
	// evidence.AnnounceInterval.
	Interval time.Duration
	// OnChange, if not nil, is called when an announcement passed to ReceiveAnnouncement
	// changes what is known of a group.
	OnChange func()
	// OnAnnouncement, if not nil, is called with each announcement that reaches
	// this process directly.
	OnAnnouncement func(backend.Announcement)
}

// Receiver holds one process's evidence. It is safe for concurrent use.
type Receiver struct {
	o Options

	mu        sync.Mutex
	table     *evidence.Table
	receivers receiverList

	exchange *exchange
	limiter  *announceLimiter
}

// New returns a Receiver with an empty table.
func New(o Options) *Receiver {
	run := uint64(time.Now().UnixNano())
	h := &Receiver{o: o, table: evidence.NewTable(o.Self, run), limiter: newAnnounceLimiter()}
	if o.Interval > 0 {
		h.table.SetInterval(o.Interval)
	}
	h.exchange = newExchange(h)
	return h
}

// WithTable calls f with the table while holding its lock. f must not keep the table.
func (h *Receiver) WithTable(f func(*evidence.Table)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.table)
}

// ServeHTTP receives one announcement of a backend server.
func (h *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !auth.HasToken(r.Header, h.o.AnnounceToken) {
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
	// A backend server that does not get this answer announces to another entry.
	_ = json.NewEncoder(w).Encode(backend.AnnounceReply{
		IntervalMillis: h.interval().Milliseconds(),
		Entries:        h.entryAddresses(),
	})
}

// cutOffError returns the refusal that makes a backend server announce to another
// entry.
//
// Failure: an entry is partitioned from the other processes while an engine
// announces itself to that entry only; all other processes consider the engine
// dead. A refused engine announces itself to another entry at once.
func cutOffError() *failure.Error {
	return failure.New(failure.TypeConfigurationStale, "this entry has lost the control processes; announce to another")
}

// validate refuses malformed announcements. It can't check the identity of the
// sender; docs/backend-protocol.md describes the consequences.
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

// ReceiveAnnouncement receives an announcement that an adapter has decoded. While announcements
// are spread over several processes, it pushes a change of a group to the peers at once.
func (h *Receiver) ReceiveAnnouncement(a backend.Announcement) *failure.Error {
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

// changesGroup reports whether an announcement changes a state that the controllers
// wait for, such as its group, epoch or phase.
func (h *Receiver) changesGroup(a backend.Announcement) (changed bool) {
	h.WithTable(func(t *evidence.Table) {
		r, known := t.Get(a.ID)
		if a.Kind == backend.KindService {
			r, known = t.GetService(a.ID)
		}
		changed = !known || r.Incarnation != a.Incarnation || r.Group != a.Group || r.Epoch != a.Epoch ||
			r.Phase != a.Phase || r.Leaving != a.Leaving || (a.ColdMillis > 0 && r.ColdMillis == 0)
	})
	return changed
}

// RecordDeparture records that a backend server has announced its departure, as decoded by an
// adapter. is reports whether the departure applies to an incarnation.
func (h *Receiver) RecordDeparture(is func(incarnation string) bool) *failure.Error {
	if h.o.Lease() <= 0 {
		return cutOffError()
	}
	known := false
	h.WithTable(func(t *evidence.Table) { known = t.RecordDeparture(time.Now(), h.o.Self, is) })
	if !known {
		return failure.New(failure.TypeUnavailable, "no announcement of this backend server has arrived here; notify another process")
	}
	return nil
}

func (h *Receiver) record(a backend.Announcement) {
	h.mu.Lock()
	h.table.Record(time.Now(), h.o.Self, a)
	h.mu.Unlock()
	if h.o.OnAnnouncement != nil {
		h.o.OnAnnouncement(a)
	}
}

func (h *Receiver) interval() (d time.Duration) {
	h.WithTable(func(t *evidence.Table) { d = t.Interval() })
	return d
}

func (h *Receiver) entryAddresses() []string {
	var list []string
	for _, e := range h.o.Board().Entries {
		list = append(list, e.Address)
	}
	return list
}

// Run exchanges evidence with the other entries until the context ends. All
// connections have ended when it returns.
func (h *Receiver) Run(ctx context.Context) {
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

// tickTable makes the table observe the current time. Without it, a process without
// peers would not call the table and would appear to have been paused.
func (h *Receiver) tickTable() {
	h.WithTable(func(t *evidence.Table) { t.Digest(time.Now(), evidence.Cursor{}) })
}
