package harness

import (
	"bytes"
	"encoding/json"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/sirupsen/logrus"
)

func init() {
	// Toxiproxy logs each connection, and each connection that a killed process refuses.
	logrus.SetLevel(logrus.FatalLevel)
}

// Link forwards connections to one process. Other processes are given the link's address in
// place of the process's own.
type Link struct {
	t     T
	relay *relay
	proxy *toxiproxy.Proxy
}

// NewLink starts a link to the address upstream. The link ends with the test.
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

// Address returns the address at which other processes connect to the link.
func (l *Link) Address() string { return l.relay.listener.Addr().String() }

// Cut drops both directions of all connections, existing and new.
func (l *Link) Cut() { l.relay.setAll(droppedDirections{true, true}) }

// CutOneWay drops one direction of all connections, existing and new.
func (l *Link) CutOneWay(d Direction) {
	var dropped droppedDirections
	dropped[d] = true
	l.relay.setAll(dropped)
}

// CutFrom drops both directions of the connections that come from one node.
func (l *Link) CutFrom(n *Node) { l.relay.setSource(n.source, droppedDirections{true, true}) }

// CutFromOneWay drops one direction of the connections that come from one node.
func (l *Link) CutFromOneWay(n *Node, d Direction) {
	var dropped droppedDirections
	dropped[d] = true
	l.relay.setSource(n.source, dropped)
}

// Delay holds back each piece of data by d, in both directions. 0 ends the delay.
func (l *Link) Delay(d time.Duration) { l.relay.setDelay(d) }

// AnswerRaw replaces each answer of the process by a text. An empty text ends that.
func (l *Link) AnswerRaw(text string) { l.relay.setRawAnswer(text) }

// Heal ends all cuts and closes the connections that are open.
func (l *Link) Heal() { l.relay.heal() }

// Silence drops all further data of the open connections for good. New connections work. It
// returns the number of connections silenced.
func (l *Link) Silence() int { return l.relay.silence() }

// Reset closes all open connections.
func (l *Link) Reset() { l.relay.closeConns() }

// Toxic is a fault of toxiproxy. Type is "latency" with the attributes latency and jitter in
// milliseconds, "bandwidth" with rate in KB/s, "timeout", "reset_peer", "slicer" or
// "limit_data".
type Toxic struct {
	Name       string         `json:"name"`
	Type       string         `json:"type"`
	Stream     string         `json:"stream"`
	Toxicity   float32        `json:"toxicity"`
	Attributes map[string]int `json:"attributes"`
}

// AddToxic applies a toxic to the data that the process sends or, with Stream "upstream", to the
// data sent to the process. A Toxicity of 0 stands for 1: all connections.
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
