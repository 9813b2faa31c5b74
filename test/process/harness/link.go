package harness

import (
	"bytes"
	"encoding/json"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/sirupsen/logrus"
)

func init() {
	// Toxiproxy logs each connection, and each one that a killed process refuses.
	logrus.SetLevel(logrus.FatalLevel)
}

// Link leads to one process. Others are told the link's address in place of
// the process's own.
type Link struct {
	t     T
	relay *relay
	proxy *toxiproxy.Proxy
}

// NewLink starts a link to upstream.
func NewLink(t T, name, upstream string) *Link {
	t.Helper()
	proxy := toxiproxy.NewProxy()
	proxy.Name = name
	proxy.Listen = loopback + ":0"
	proxy.Upstream = upstream
	if err := proxy.Start(); err != nil {
		t.Fatalf("proxy of %s: %v", name, err)
	}
	relay, err := startRelay(loopback+":0", proxy.Listen)
	if err != nil {
		proxy.Stop()
		t.Fatalf("relay of %s: %v", name, err)
	}
	t.Cleanup(func() {
		relay.close()
		proxy.Stop()
	})
	return &Link{t: t, relay: relay, proxy: proxy}
}

// Address returns the address under which others reach the process.
func (l *Link) Address() string { return l.relay.listener.Addr().String() }

// Cut loses both directions of all connections, old and new.
func (l *Link) Cut() { l.relay.setAll(droppedDirections{true, true}) }

// CutOneWay loses one direction of all connections.
func (l *Link) CutOneWay(d Direction) {
	var dropped droppedDirections
	dropped[d] = true
	l.relay.setAll(dropped)
}

// CutFrom loses both directions of one node's connections.
func (l *Link) CutFrom(n *Node) { l.relay.setSource(n.source, droppedDirections{true, true}) }

// CutFromOneWay loses one direction of one node's connections.
func (l *Link) CutFromOneWay(n *Node, d Direction) {
	var dropped droppedDirections
	dropped[d] = true
	l.relay.setSource(n.source, dropped)
}

// Delay holds up what is sent either way, each piece for so long; 0 ends it.
func (l *Link) Delay(d time.Duration) { l.relay.setDelay(d) }

// Heal ends all cuts. Connections that were open are closed.
func (l *Link) Heal() { l.relay.heal() }

// Silence makes the open connections silent for good; new ones work. It
// returns how many there were.
func (l *Link) Silence() int { return l.relay.silence() }

// Reset closes all open connections.
func (l *Link) Reset() { l.relay.closeConns() }

// Toxic is one of toxiproxy's: "latency" with latency and jitter in
// milliseconds, "bandwidth" with rate in KB a second, "timeout", "reset_peer",
// "slicer", "limit_data".
type Toxic struct {
	Name       string         `json:"name"`
	Type       string         `json:"type"`
	Stream     string         `json:"stream"`
	Toxicity   float32        `json:"toxicity"`
	Attributes map[string]int `json:"attributes"`
}

// AddToxic adds a toxic to the answers of the process, or, with Stream
// "upstream", to what is sent to it.
func (l *Link) AddToxic(x Toxic) {
	l.t.Helper()
	if x.Toxicity == 0 {
		x.Toxicity = 1
	}
	if x.Stream == "" {
		x.Stream = "downstream"
	}
	body, err := json.Marshal(x)
	if err != nil {
		l.t.Fatalf("toxic: %v", err)
	}
	if _, err := l.proxy.Toxics.AddToxicJson(bytes.NewReader(body)); err != nil {
		l.t.Fatalf("toxic %s: %v", x.Type, err)
	}
}

// ResetToxics removes all toxics.
func (l *Link) ResetToxics() { l.proxy.Toxics.ResetToxics() }
