package replica

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/raft"
)

// register is a state machine of named values. A command sets one value, either always or only
// if the value is the expected one.
type register struct {
	mu     sync.Mutex
	values map[string]string
	count  int
}

type registerCommand struct {
	Key    string  `json:"key"`
	Value  string  `json:"value"`
	Expect *string `json:"expect,omitempty"`
}

func newRegister() *register { return &register{values: map[string]string{}} }

func (r *register) Apply(_ uint64, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var c registerCommand
	if err := json.Unmarshal(command, &c); err != nil {
		return []byte("bad")
	}
	if c.Expect != nil && r.values[c.Key] != *c.Expect {
		return []byte("conflict")
	}
	r.values[c.Key] = c.Value
	r.count++
	return []byte("ok")
}

func (r *register) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r.values)
}

func (r *register) Restore(snapshot []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values = map[string]string{}
	return json.Unmarshal(snapshot, &r.values)
}

func (r *register) get(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

// host is one VM of a test: an address that outlives the node, a data folder and a clock that
// goes on while the node is frozen.
type host struct {
	t       testing.TB
	opts    Options
	server  *httptest.Server
	handler atomic.Pointer[http.Handler]
	current atomic.Pointer[running]
	node    *Node
	machine *register
}

// running is a node and its state machine. Callers on other goroutines load it while the host
// is killed and reopened.
type running struct {
	node    *Node
	machine *register
}

func (h *host) running() *running { return h.current.Load() }

type cluster struct {
	t     testing.TB
	hosts []*host
	peers []string
	edit  func(*Options)
	// traffic counts the bytes that all hosts received and sent.
	traffic atomic.Int64
}

// logVariable names the environment variable that makes the tests print the nodes' logs.
const logVariable = "CITRONSTEP_TEST_LOG"

const testSecret = "between-processes"

// newCluster starts count hosts that do not belong to a cluster yet.
func newCluster(t testing.TB, count int, edit func(*Options)) *cluster {
	t.Helper()
	c := &cluster{t: t, edit: edit}
	for range count {
		c.addHost()
	}
	for _, h := range c.hosts {
		h.opts.Peers = c.peers
		h.open()
	}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) addHost() *host {
	c.t.Helper()
	h := &host{t: c.t}
	h.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler := h.handler.Load()
		if handler == nil {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		(*handler).ServeHTTP(w, r)
	}))
	h.server.Listener = countingListener{h.server.Listener, &c.traffic}
	h.server.Start()
	name := string(rune('a' + len(c.hosts)))
	h.opts = Options{
		Group: 1, Folder: filepath.Join(c.t.TempDir(), name), VM: "vm-" + name, DataCentre: "dc-" + name,
		Address: h.server.Listener.Addr().String(), Secret: testSecret,
		TickInterval: 20 * time.Millisecond, ElectionTicks: 25,
	}
	if os.Getenv(logVariable) != "" {
		h.opts.Logger = log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "at", log.DefaultTimestamp, "vm", h.opts.VM)
	}
	if c.edit != nil {
		c.edit(&h.opts)
	}
	c.hosts = append(c.hosts, h)
	c.peers = append(c.peers, h.opts.Address)
	return h
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		h.kill()
		h.server.CloseClientConnections()
		h.server.Close()
	}
}

func (h *host) open() {
	h.t.Helper()
	h.machine = newRegister()
	h.opts.Machine = h.machine
	node, err := Open(h.opts)
	assert.NilError(h.t, err)
	h.node = node
	handler := node.Handler()
	h.handler.Store(&handler)
	h.current.Store(&running{node: node, machine: h.machine})
}

// kill stops the node without a leadership transfer. Synced data remains.
func (h *host) kill() {
	if h.node == nil {
		return
	}
	h.handler.Store(nil)
	h.current.Store(nil)
	assert.NilError(h.t, h.node.Close())
	h.node = nil
}

func (h *host) loseDisk() {
	h.t.Helper()
	assert.NilError(h.t, os.RemoveAll(h.opts.Folder))
}

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// eventually waits until ok returns true.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 30 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// leader waits until a running host has a lease, and returns that host.
func (c *cluster) leader() *host {
	c.t.Helper()
	var found *host
	eventually(c.t, "a leader with a lease", func() bool {
		for _, h := range c.hosts {
			if h.node != nil && h.node.LeaseRemaining() > 0 {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

// members returns the leader's membership once it is committed. Before that, a test that
// removes another disk may lose the majority.
func (c *cluster) members() []Member {
	var members []Member
	eventually(c.t, "a committed membership", func() bool {
		s := c.leader().node.Status()
		members = s.Members
		return s.MembershipIndex <= s.Commit && s.LeaseRemaining > 0
	})
	return members
}

func (c *cluster) voters() int {
	count := 0
	for _, m := range c.members() {
		if !m.Learner {
			count++
		}
	}
	return count
}

// found founds the cluster on the first host and waits for the voters.
func (c *cluster) found(voters int) {
	c.t.Helper()
	assert.NilError(c.t, c.hosts[0].node.Found(testContext(c.t)))
	eventually(c.t, "all voters", func() bool { return c.voters() == voters })
}

func command(key, value string) []byte {
	data, _ := json.Marshal(registerCommand{Key: key, Value: value})
	return data
}

// put proposes a write at the current leader until one succeeds.
func (c *cluster) put(key, value string) {
	c.t.Helper()
	eventually(c.t, "a write is answered", func() bool {
		_, err := c.leader().node.Propose(testContext(c.t), command(key, value))
		return err == nil
	})
}

func (c *cluster) member(id raft.NodeID) (Member, bool) {
	for _, m := range c.members() {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}
