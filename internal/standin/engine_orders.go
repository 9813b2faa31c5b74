package standin

import (
	"encoding/json"
	"net/http"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/backend"
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if !e.authorised(r) {
		http.Error(w, "unknown bearer token", http.StatusUnauthorized)
		return
	}
	var o backend.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := e.executeOrder(e.currentState(), o)
	_ = level.Info(e.options.Logger).Log("msg", "order", "id", e.common.ID, "kind", o.Kind, "group", o.Group,
		"term", o.Token.Term, "epoch", o.Token.Epoch, "accepted", reply.Accepted)
	writeJSON(w, http.StatusOK, reply)
}

// executeOrder executes an order, or refuses it if the engine checks fencing tokens and the
// order is stale.
func (e *Engine) executeOrder(s *engineState, o backend.Order) backend.OrderReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.options.Fencing == FencingCheck {
		if s.isStale(o) {
			return backend.OrderReply{Newest: s.newest}
		}
		s.newest = o.Token
		if o.Kind == backend.OrderRelease {
			s.released = max(s.released, o.Token.Epoch)
		}
	}
	switch o.Kind {
	case backend.OrderLoad:
		e.join(s, o)
	case backend.OrderRelease:
		e.leave(s, o)
	default:
		return backend.OrderReply{Newest: s.newest}
	}
	return backend.OrderReply{Accepted: true, Newest: s.newest}
}

// isStale reports whether an order is for another incarnation, for a released epoch, or older
// than the newest token. The caller holds s.mu.
func (s *engineState) isStale(o backend.Order) bool {
	otherIncarnation := o.Incarnation != "" && o.Incarnation != s.incarnation.id
	late := o.Kind == backend.OrderLoad && o.Token.Epoch <= s.released
	return otherIncarnation || late || o.Token.Less(s.newest)
}

// join starts the membership in the ordered group. A repeated order changes nothing. The caller
// holds s.mu.
func (e *Engine) join(s *engineState, o backend.Order) {
	if g := s.group; g != nil {
		if g.matches(o) {
			return
		}
		g.end()
	}
	g := e.newMembership(s, o)
	s.group = g
	s.incarnation.wg.Add(2)
	go func() {
		defer s.incarnation.wg.Done()
		e.loadModel(s, g)
	}()
	go func() {
		defer s.incarnation.wg.Done()
		e.runMembership(s, g)
	}()
}

// leave ends the membership. The engine announces the phase "releasing" until its generations
// have ended. The caller holds s.mu.
func (e *Engine) leave(s *engineState, o backend.Order) {
	g := s.group
	if g == nil || (o.Group != "" && g.order.Group != o.Group) {
		return
	}
	g.setPhase(backend.PhaseReleasing)
	g.end()
	s.incarnation.wg.Add(1)
	go func() {
		defer s.incarnation.wg.Done()
		g.streams.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.group == g {
			s.group = nil
		}
	}()
}

// loadModel makes the weights available and marks the membership as ready.
func (e *Engine) loadModel(s *engineState, g *membership) {
	model := g.order.Model
	s.mu.Lock()
	local := s.weights[model]
	s.mu.Unlock()
	if !local && !e.fetch(g, model) {
		return
	}
	s.mu.Lock()
	s.weights[model] = true
	s.mu.Unlock()
	g.becomeReady()
}

// fetch loads weights from the store, or waits for the configured load time if there is no
// store.
func (e *Engine) fetch(g *membership, model string) bool {
	if e.options.WeightStore == "" {
		return sleep(g.ctx, e.faults.scale(e.options.LoadTime))
	}
	if err := fetchWeights(g.ctx, e.options.WeightStore, model); err != nil {
		_ = level.Warn(e.options.Logger).Log("msg", "weights not loaded", "id", e.common.ID, "err", err)
		g.setPhase(backend.PhaseFailed)
		return false
	}
	return true
}
