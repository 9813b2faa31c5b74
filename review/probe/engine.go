//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// order is an order to an engine.
type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`

	at time.Time
}

// The times that the stand-in of an engine takes, as the configuration of the case states them.
const (
	loadTime   = 100 * time.Millisecond // a tenth of loadS, as no request has come yet
	rejoinTime = 200 * time.Millisecond // the model of the engine's last group since its start
	formTime   = 300 * time.Millisecond
)

// engine is a stand-in of a model runner that joins and opens groups.
type engine struct {
	id, domain, zone string
	controls         []string
	record           *recorder
	// leavesUnanswered decides whether an order gets no answer. The caller holds the lock.
	leavesUnanswered func(g *engine, o order) bool
	// onOpen is called when the engine begins to serve as a head; it may be nil.
	onOpen func(g *engine)

	address string
	wake    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	server  *http.Server
	isDown  bool
	born    int64
	seq     uint64
	highest uint64
	now     order
	state   string
	last    string
	// change numbers the changes of the membership, so that a later one ends an earlier one's timer.
	change             int
	orders, unanswered int
	// brokenBy holds the joins that were taken while the engine was the open head of another group.
	brokenBy []order
}

func (g *engine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.address, g.wake, g.done = l.Addr().String(), make(chan struct{}, 1), make(chan struct{})
	g.serveOn(l)
	go g.beat()
	return nil
}

func (g *engine) serveOn(l net.Listener) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server, g.born, g.seq, g.isDown = &http.Server{Handler: g}, time.Now().UnixMilli(), 0, false
	server := g.server
	go func() { _ = server.Serve(l) }()
}

func (g *engine) stop() {
	close(g.done)
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.server.Close()
}

// crash ends the engine. It starts again under its id, and knows nothing of before.
func (g *engine) crash(down time.Duration) {
	g.mu.Lock()
	g.isDown = true
	g.highest, g.now, g.state, g.last = 0, order{}, "", ""
	g.change++
	_ = g.server.Close()
	g.mu.Unlock()
	g.record.now("runner %s crashes", g.id)
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", g.address)
		if err != nil {
			return
		}
		g.record.now("runner %s starts again", g.id)
		g.serveOn(l)
		g.announce()
	})
}

func (g *engine) announce() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *engine) beat() {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for {
		g.sendBeat(client)
		select {
		case <-ticker.C:
		case <-g.wake:
		case <-g.done:
			return
		}
	}
}

func (g *engine) sendBeat(client *http.Client) {
	g.mu.Lock()
	if g.isDown {
		g.mu.Unlock()
		return
	}
	g.seq++
	text := map[string]any{
		"service": "huvo11a", "address": g.address, "zone": g.zone, "version": "v1", "slots": 26, "state": "ready", "coldLeftMs": 0,
		"stage": "both", "models": []any{}, "domain": g.domain, "staged": []string{}, "seq": g.seq, "born": g.born,
	}
	if g.now.Group != "" {
		rank := 0
		for i, id := range g.now.Members {
			if id == g.id {
				rank = i
			}
		}
		text["group"] = map[string]any{"name": g.now.Group, "epoch": g.now.Epoch, "rank": rank, "state": g.state}
	}
	body, _ := json.Marshal(text)
	g.mu.Unlock()
	for _, target := range g.controls {
		q, err := http.NewRequest(http.MethodPut, "http://"+target+"/citronstep/runners/"+g.id, bytes.NewReader(body))
		if err != nil {
			return
		}
		answer, err := client.Do(q)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return
		}
	}
}

// ServeHTTP takes orders.
func (g *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/citronstep/order" || r.Header.Get("X-Citronstep-Expect-Instance") != g.id {
		w.Header().Set("X-Citronstep-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.at = time.Now()
	g.mu.Lock()
	g.orders++
	if g.leavesUnanswered != nil && g.leavesUnanswered(g, o) {
		g.unanswered++
		g.record.add(o.at, "runner %s gets %s of %s, epoch %d, and leaves it unanswered", g.id, o.Op, o.Group, o.Epoch)
		g.mu.Unlock()
		<-r.Context().Done()
		return
	}
	status := g.apply(o)
	g.record.add(o.at, "runner %s gets %s of %s, epoch %d, and answers %d", g.id, o.Op, o.Group, o.Epoch, status)
	g.mu.Unlock()
	w.WriteHeader(status)
	g.announce()
}

// applyLate carries out an order that was left unanswered.
func (g *engine) applyLate(o order) {
	g.mu.Lock()
	status := g.apply(o)
	g.record.now("runner %s carries out %s of %s, epoch %d, %.1f s late: %d", g.id, o.Op, o.Group, o.Epoch, time.Since(o.at).Seconds(), status)
	g.mu.Unlock()
	g.announce()
}

// apply carries out an order and returns the status of its answer. The caller holds the lock.
func (g *engine) apply(o order) int {
	inEpoch := g.now.Group == o.Group && g.now.Epoch == o.Epoch
	switch o.Op {
	case "join":
		return g.join(o, inEpoch)
	case "open":
		if !inEpoch || (g.state != "ready" && g.state != "open") {
			return http.StatusConflict
		}
		if g.state == "ready" {
			g.after(formTime, "open", func(g *engine) {
				g.mu.Lock()
				f := g.onOpen
				g.mu.Unlock()
				if f != nil {
					f(g)
				}
			})
		}
	case "close":
		if inEpoch && g.state == "open" {
			g.state = "ready"
		}
	case "leave":
		if inEpoch {
			g.now, g.state = order{}, ""
			g.change++
		}
	}
	return http.StatusAccepted
}

func (g *engine) join(o order, inEpoch bool) int {
	if o.Epoch < g.highest {
		return http.StatusPreconditionFailed
	}
	if inEpoch && (g.state == "ready" || g.state == "open") {
		return http.StatusOK
	}
	isOpenHead := g.state == "open" && len(g.now.Members) > 0 && g.now.Members[0] == g.id
	if o.Group != g.now.Group && isOpenHead {
		g.brokenBy = append(g.brokenBy, o)
		g.record.now("runner %s takes a join of %s, epoch %d, while it is the open head of %s, epoch %d", g.id, o.Group, o.Epoch, g.now.Group, g.now.Epoch)
	}
	took := loadTime
	if g.last == o.Model {
		took = rejoinTime
	}
	g.highest, g.now, g.state, g.last = o.Epoch, o, "joining", o.Model
	g.after(took, "ready", nil)
	return http.StatusAccepted
}

// after sets the state after a time, unless the membership changes before. The caller holds the lock.
func (g *engine) after(d time.Duration, state string, then func(*engine)) {
	g.change++
	change := g.change
	time.AfterFunc(d, func() {
		g.mu.Lock()
		isCurrent := g.change == change
		if isCurrent {
			g.state = state
			g.record.now("runner %s is %s in %s, epoch %d", g.id, state, g.now.Group, g.now.Epoch)
		}
		g.mu.Unlock()
		if isCurrent {
			g.announce()
			if then != nil {
				then(g)
			}
		}
	})
}

// poolText is a configuration with one pool of engines whose groups have two members.
func poolText(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-2yhvz3p","host":%q,"pathPrefix":%q,"routeKind":"streaming","timeoutMs":8000,"sloMs":300,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapSloMs":300}],`+
		`"services":[{"name":"huvo11a","healthPath":"/health","maxConns":374,"protocol":"h1","tls":false,"engine":{"slots":26,"kvCapacity":1590000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":7,`+
		`"models":[{"name":"daka510000","size":2,"share":1.0,"pace":1.0,"loadS":1.0,"warmS":0.5}],"step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,"read_per_s":50700.0,"pairs_per_m":0.368,"chunk":2048,`+
		`"report_lag_ms":200.0,"loadsPerS":4.5,"loads_at_once":6,"usual":{"prompt":1115,"answer":178},"cachedPrefixes":1,"far_x":2.5,"formMs":300.0}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":%q,"apiKeys":[%q],"priority":1}]}`, version, host, manyPrefix, tenant, key)
}
