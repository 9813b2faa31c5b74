package harness

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"github.com/citronstep/citronstep/internal/settings"
)

// AdminToken, PeerToken, AnnounceToken and BackendToken are the secrets of
// every cluster under test.
const (
	AdminToken    = "admin-secret"
	PeerToken     = "peer-secret"
	AnnounceToken = "announce-secret"
	BackendToken  = "backend-secret"
)

// NodeSpec specifies one daemon process and its roles.
type NodeSpec struct {
	Name       string
	DataCentre string
	Entry      bool
	Control    bool
}

// ClusterSpec specifies a cluster.
type ClusterSpec struct {
	Nodes []NodeSpec
	// Adjust, if not nil, changes each node's settings before the node starts.
	Adjust func(*settings.Settings)
}

// Standard returns a spec of three nodes with both control and entry, in three data centres, and
// one entry-only node.
func Standard() ClusterSpec {
	return ClusterSpec{Nodes: []NodeSpec{
		{Name: "n1", DataCentre: "dc1", Entry: true, Control: true},
		{Name: "n2", DataCentre: "dc2", Entry: true, Control: true},
		{Name: "n3", DataCentre: "dc3", Entry: true, Control: true},
		{Name: "n4", DataCentre: "dc1", Entry: true},
	}}
}

// Node is one daemon process with its addresses, links and folder.
type Node struct {
	*Process
	Spec NodeSpec
	// Entry is the address for callers and Admin the one for operators. Neither passes through
	// a link.
	Entry string
	Admin string
	// Peers is the link through which the system's other processes connect, and Announce the link
	// through which backend servers connect.
	Peers    *Link
	Announce *Link
	// source is the IP address that the node's connections to its peers come from.
	source string
	// Folder holds the node's settings, log and data.
	Folder string
}

// DataFolder returns the folder of the node's durable state.
func (n *Node) DataFolder() string { return filepath.Join(n.Folder, "data") }

// LoseData deletes the node's durable state. The process must not be running.
func (n *Node) LoseData() { _ = os.RemoveAll(n.DataFolder()) }

// Cluster is a system under test.
type Cluster struct {
	T        T
	Nodes    []*Node
	Standins []*Standin
	tokens   tokenFiles
	folder   string
}

type tokenFiles struct{ admin, peer, announce, backend string }

// NewCluster starts the daemons of spec. It does not bootstrap the cluster: see Found.
func NewCluster(t T, spec ClusterSpec) *Cluster {
	t.Helper()
	c := &Cluster{T: t, folder: t.TempDir()}
	c.tokens = tokenFiles{
		admin:    c.write("admin.token", AdminToken),
		peer:     c.write("peer.token", PeerToken),
		announce: c.write("announce.token", AnnounceToken),
		backend:  c.write("backend.token", BackendToken),
	}
	path := Program(t, "citronstepd")
	nodeSettings := make([]*settings.Settings, 0, len(spec.Nodes))
	for _, n := range spec.Nodes {
		node, s := c.newNode(n)
		c.Nodes = append(c.Nodes, node)
		nodeSettings = append(nodeSettings, s)
	}
	for i, node := range c.Nodes {
		s := nodeSettings[i]
		s.Peers.Control = c.controlPeers()
		if spec.Adjust != nil {
			spec.Adjust(s)
		}
		file := c.writeSettings(node, s)
		node.Process = StartProcess(t, node.Spec.Name, node.Folder, path, "-settings", file)
	}
	return c
}

// Node returns the node with this name, and fails the test if there is none.
func (c *Cluster) Node(name string) *Node {
	c.T.Helper()
	for _, n := range c.Nodes {
		if n.Spec.Name == name {
			return n
		}
	}
	c.T.Fatalf("no node %s", name)
	return nil
}

// Entries returns the nodes with the entry role.
func (c *Cluster) Entries() []*Node {
	var out []*Node
	for _, n := range c.Nodes {
		if n.Spec.Entry {
			out = append(out, n)
		}
	}
	return out
}

// newNode returns a node with its folder and settings, not yet started. The control peers in its
// settings are still missing.
func (c *Cluster) newNode(spec NodeSpec) (*Node, *settings.Settings) {
	c.T.Helper()
	folder := filepath.Join(c.folder, spec.Name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		c.T.Fatalf("folder of %s: %v", spec.Name, err)
	}
	node := &Node{Spec: spec, Folder: folder}
	s := settings.Dev(folder)
	s.VM = spec.Name
	s.DataCentre = spec.DataCentre
	s.Control = settings.Control{}
	s.Control.TickMillis = settings.DefaultTickMillis
	s.Control.ElectionTicks = settings.DefaultElectionTicks
	s.Control.ConfigLeaseMillis = settings.DefaultConfigLeaseMillis
	s.Control.Voters = settings.DefaultVoters
	s.Control.Enabled = spec.Control
	if spec.Control {
		s.Control.DataFolder = node.DataFolder()
	}
	s.Entry.Enabled = spec.Entry
	s.Entry.AnnounceTokenFile = c.tokens.announce
	s.Entry.BackendTokenFile = c.tokens.backend
	s.Admin.TokenFile = c.tokens.admin
	s.Peers.TokenFile = c.tokens.peer
	c.assignAddresses(node, s)
	return node, s
}

// assignAddresses gives a node its listen addresses and starts the links to it. The settings
// advertise the links' addresses, so that other processes connect through the links.
func (c *Cluster) assignAddresses(node *Node, s *settings.Settings) {
	name := node.Spec.Name
	node.source = fmt.Sprintf("127.0.1.%d", len(c.Nodes)+1)
	s.Peers.Listen = FreeAddressOn(c.T, node.source)
	node.Peers = NewLink(c.T, name+"-peers", s.Peers.Listen)
	s.Peers.Advertise = node.Peers.Address()
	s.Entry.Listen = FreeAddress(c.T)
	node.Entry = s.Entry.Listen
	node.Announce = NewLink(c.T, name+"-announce", s.Entry.Listen)
	s.Entry.Advertise = node.Announce.Address()
	s.Admin.Listen = FreeAddress(c.T)
	node.Admin = s.Admin.Listen
}

// controlPeers returns the addresses of the links to all control nodes.
func (c *Cluster) controlPeers() []string {
	var out []string
	for _, n := range c.Nodes {
		if n.Spec.Control {
			out = append(out, n.Peers.Address())
		}
	}
	return out
}

func (c *Cluster) writeSettings(n *Node, s *settings.Settings) string {
	c.T.Helper()
	body, err := toml.Marshal(s)
	if err != nil {
		c.T.Fatalf("settings of %s: %v", n.Spec.Name, err)
	}
	return c.write(filepath.Join(n.Spec.Name, "settings.toml"), string(body))
}

// write writes a file in the cluster's folder and returns its path.
func (c *Cluster) write(name, text string) string {
	c.T.Helper()
	path := filepath.Join(c.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.T.Fatalf("writing %s: %v", name, err)
	}
	return path
}
