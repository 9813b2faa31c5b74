package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// pathMember is the path to which members of a group send heartbeats to the head. It is
// internal to the engines and no part of the protocol with the system.
const pathMember = "/v1/member"

// memberHeartbeat is the heartbeat of a member. The response is the head's own heartbeat.
type memberHeartbeat struct {
	Group       string `json:"group"`
	Epoch       uint64 `json:"epoch"`
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Ready       bool   `json:"ready"`
}

// runMembership sends heartbeats and checks the group until the membership ends.
func (e *Engine) runMembership(s *engineState, g *membership) {
	for g.ctx.Err() == nil {
		e.server.gate.wait(g.ctx.Done())
		if !g.isHead() {
			e.sendHeartbeat(s, g)
		}
		g.check(time.Now())
		sleep(g.ctx, e.options.MemberInterval)
	}
}

// ownHeartbeat returns the current heartbeat of this engine.
func (e *Engine) ownHeartbeat(s *engineState, g *membership) memberHeartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	return memberHeartbeat{
		Group:       g.order.Group,
		Epoch:       g.order.Token.Epoch,
		VM:          g.self,
		Incarnation: s.incarnation.id,
		Ready:       g.phase == backend.PhaseReady,
	}
}

// sendHeartbeat sends a heartbeat to the head and records the head's own heartbeat from the
// response.
func (e *Engine) sendHeartbeat(s *engineState, g *membership) {
	if len(g.order.Members) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, g.memberTimeout)
	defer cancel()
	body, err := json.Marshal(e.ownHeartbeat(s, g))
	if err != nil {
		return
	}
	url := "http://" + g.order.Members[0].Address + pathMember
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := e.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var head memberHeartbeat
	err = json.NewDecoder(io.LimitReader(response.Body, maxRequestBodyBytes)).Decode(&head)
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	g.recordHeartbeat(head.VM, head.Incarnation, head.Ready, time.Now())
}

func (e *Engine) serveMember(w http.ResponseWriter, r *http.Request) {
	var b memberHeartbeat
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes)).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := e.currentState()
	s.mu.Lock()
	g := s.group
	s.mu.Unlock()
	if g == nil || g.order.Group != b.Group || g.order.Token.Epoch != b.Epoch || !g.isHead() {
		http.Error(w, "not the head of this group and epoch", http.StatusConflict)
		return
	}
	g.recordHeartbeat(b.VM, b.Incarnation, b.Ready, time.Now())
	writeJSON(w, http.StatusOK, e.ownHeartbeat(s, g))
}
