package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"github.com/citronstep/citronstep/internal/backend"
)

// incarnation is one run of a stand-in between start and crash. All its goroutines end with
// ctx.
type incarnation struct {
	ctx    context.Context
	cancel context.CancelFunc
	id     string
	wg     sync.WaitGroup
}

// host is the common part of engines and plain services: listener, announcements, faults, and
// crash and restart as a new incarnation.
type host struct {
	common    Common
	server    *server
	announcer *announcer
	faults    faultState
	// onStart creates the state of a new incarnation; newAnnouncement returns its announcement.
	onStart         func(*incarnation)
	newAnnouncement func(*incarnation) *backend.Announcement

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	incarnation *incarnation
	crashing    bool
	sequence    uint64
	leaving     bool
}

func newHost(ctx context.Context, o Common, handler http.Handler) *host {
	h := &host{common: o, server: newServer(handler), announcer: newAnnouncer(o)}
	h.faults.set(o.Faults)
	h.ctx, h.cancel = context.WithCancel(ctx)
	return h
}

// start starts the first incarnation.
func (h *host) start() error {
	return h.begin(h.common.Listen)
}

// begin starts a new incarnation that listens on address.
func (h *host) begin(address string) error {
	l := &incarnation{id: uuid.NewString()}
	l.ctx, l.cancel = context.WithCancel(h.ctx)
	h.mu.Lock()
	h.incarnation = l
	h.sequence = 0
	h.mu.Unlock()
	h.onStart(l)
	if err := h.server.listen(l.ctx, address); err != nil {
		l.cancel()
		return err
	}
	if len(h.common.Entries) > 0 {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			h.announcer.run(l.ctx, func() *backend.Announcement { return h.announcement(l) })
		}()
	}
	return nil
}

// announcement returns the announcement with the fields common to all stand-ins, or nil if none
// is to be sent.
func (h *host) announcement(l *incarnation) *backend.Announcement {
	h.server.gate.wait(l.ctx.Done())
	if h.faults.get().Muted || l.ctx.Err() != nil {
		return nil
	}
	m := h.newAnnouncement(l)
	m.ID = h.common.ID
	m.Incarnation = l.id
	m.Address = h.Address()
	m.DataCentre = h.common.DataCentre
	m.FabricDomain = h.common.FabricDomain
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	m.Sequence = h.sequence
	m.Leaving = h.leaving
	return m
}

// Address returns the address that the stand-in announces.
func (h *host) Address() string {
	if h.common.Advertise != "" {
		return h.common.Advertise
	}
	return h.server.addr()
}

// ListenAddress returns the address that the stand-in listens on.
func (h *host) ListenAddress() string { return h.server.addr() }

// Incarnation returns the id of the current incarnation.
func (h *host) Incarnation() string { return h.current().id }

// Runs returns all runs in the recorder.
func (h *host) Runs() []Run { return h.common.Recorder.Runs() }

func (h *host) current() *incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// Apply sets the persistent faults and carries out the one-time faults. An order with a rate
// limit, a back-off or a lasting crash marker sets only these.
func (h *host) Apply(o FaultOrder) {
	h.setFaults(o)
	h.strike(o)
}

// isPartial reports whether the order sets one statement or marker alone.
func (o FaultOrder) isPartial() bool {
	return o.RateLimit != nil || o.RetryAfterMillis != nil || o.LastingCrashMarker != nil || o.RawAnswer != nil
}

// setFaults sets the persistent faults and what the stand-in states about itself.
func (h *host) setFaults(o FaultOrder) {
	if o.RateLimit != nil {
		h.faults.limitRate(*o.RateLimit)
	}
	if o.RetryAfterMillis != nil {
		h.faults.backOff(time.Duration(*o.RetryAfterMillis) * time.Millisecond)
	}
	if o.RawAnswer != nil {
		h.faults.setRawAnswer(*o.RawAnswer)
	}
	if o.LastingCrashMarker != nil {
		h.faults.crashOn(*o.LastingCrashMarker)
	}
	if o.isPartial() {
		return
	}
	h.faults.set(o.Faults)
	if o.Leaving != nil {
		h.mu.Lock()
		h.leaving = *o.Leaving
		h.faults.leave(h.leaving)
		h.mu.Unlock()
	}
}

// strike applies the one-time faults.
func (h *host) strike(o FaultOrder) {
	if o.isPartial() {
		return
	}
	if o.PauseMillis > 0 {
		h.server.gate.closeFor(time.Duration(o.PauseMillis) * time.Millisecond)
	}
	if o.Silence {
		h.server.silence()
	}
	if o.Crash {
		h.crash()
	}
}

// crash discards the incarnation with its state and connections, and restarts as a new
// incarnation on the same address.
func (h *host) crash() {
	if h.common.OnCrash != nil {
		h.common.OnCrash()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.crashing || h.ctx.Err() != nil {
		return
	}
	h.crashing = true
	h.wg.Add(1)
	go h.crashAndRestart(h.incarnation)
}

func (h *host) crashAndRestart(l *incarnation) {
	defer h.wg.Done()
	_ = level.Info(h.common.Logger).Log("msg", "stand-in crashed by fault", "id", h.common.ID)
	l.cancel()
	h.server.kill()
	l.wg.Wait()
	if !sleep(h.ctx, h.common.RestartAfter) {
		return
	}
	h.mu.Lock()
	h.crashing = false
	h.mu.Unlock()
	if err := h.begin(h.server.addr()); err != nil {
		_ = level.Error(h.common.Logger).Log("msg", "stand-in failed to restart", "id", h.common.ID, "err", err)
	}
}

// Close stops the stand-in and closes all its connections.
func (h *host) Close() {
	h.mu.Lock()
	h.cancel()
	l := h.incarnation
	h.mu.Unlock()
	h.wg.Wait()
	h.server.gate.open()
	h.server.kill()
	l.wg.Wait()
}

// authorised reports whether a request carries the required secret.
func (h *host) authorised(r *http.Request) bool {
	if h.common.Secret == "" {
		return true
	}
	return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ") == h.common.Secret
}
