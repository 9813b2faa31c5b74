package harness

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

// operatorTimeout bounds one call of the admin API.
const operatorTimeout = 10 * time.Second

// noKeepAliveClient makes a connection for each request, so that a request is sent once:
// a reused connection that breaks would make net/http send it again.
var noKeepAliveClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// WorkspaceKey is the key of the workspace "dev" that Found makes.
const WorkspaceKey = "dev-key"

// KeyHash is a workspace key as the configuration holds it.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Operate makes one call of the admin API on one node. A refusal is returned
// as *failure.Error.
func Operate(n *Node, method, path string, body, reply any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequest(method, "http://"+n.Admin+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+AdminToken)
	request.Header.Set("Content-Type", "application/json")
	client := *noKeepAliveClient
	client.Timeout = operatorTimeout
	response, err := client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		return parseRefusal(response.StatusCode, data)
	}
	return errors.Trace(json.Unmarshal(data, reply))
}

func parseRefusal(status int, data []byte) error {
	var refusal failure.Body
	if json.Unmarshal(data, &refusal) == nil && refusal.Error != nil {
		return refusal.Error
	}
	return failure.New(failure.TypeInternal, "status "+strconv.Itoa(status)+": "+string(data))
}

// Found founds the cluster with the workspace "dev", a preset "ordinary" in
// force and one group spec.
func (c *Cluster) Found(groups ...blackboard.GroupSpec) {
	c.T.Helper()
	initial := blackboard.ConfigChange{
		ChangeID:   "found",
		Workspaces: []blackboard.Workspace{{Name: "dev", KeySHA256: KeyHash(WorkspaceKey), Share: 1}},
		Classes: []blackboard.RequestClass{
			{Name: "interactive", Worth: 100}, {Name: "batch", Worth: 10},
		},
		Groups:    groups,
		Presets:   []blackboard.Preset{{Name: "ordinary"}, {Name: "peak"}, {Name: "maintenance"}},
		UsePreset: "ordinary",
	}
	var reply adminapi.InitReply
	var last error
	node := c.firstRunningControl()
	Await(c.T, "cluster is founded", func() bool {
		last = Operate(node, http.MethodPost, adminapi.PathInit, adminapi.InitRequest{Initial: initial}, &reply)
		return last == nil
	})
}

func (c *Cluster) firstRunningControl() *Node {
	for _, n := range c.Nodes {
		if n.Spec.Control && n.Running() {
			return n
		}
	}
	c.T.Fatalf("no control process runs")
	return nil
}

// Status returns the state of the system by the first control process that
// answers.
func (c *Cluster) Status() (adminapi.Status, error) {
	var last error
	for _, n := range c.Nodes {
		if !n.Spec.Control {
			continue
		}
		var s adminapi.Status
		if last = Operate(n, http.MethodGet, adminapi.PathStatus, nil, &s); last == nil {
			return s, nil
		}
	}
	return adminapi.Status{}, last
}

// Change makes a configuration change against the newest revision.
func (c *Cluster) Change(change blackboard.ConfigChange) {
	c.T.Helper()
	shown := ""
	// Each new reason is noted, so that a change that is never accepted says why.
	logNewReason := func(err error) {
		if err != nil && err.Error() != shown {
			shown = err.Error()
			c.T.Logf("change %s: %s", change.ChangeID, shown)
		}
	}
	Await(c.T, "change "+change.ChangeID+" is accepted", func() bool {
		status, err := c.Status()
		if err != nil {
			logNewReason(err)
			return false
		}
		change.Expect = status.ConfigRevision
		var reply adminapi.ChangeReply
		err = Operate(c.firstRunningControl(), http.MethodPost, adminapi.PathConfiguration, change, &reply)
		if failure.Is(err, failure.TypeBadRequest) {
			c.T.Fatalf("change %s: %v", change.ChangeID, err)
		}
		logNewReason(err)
		return err == nil
	})
}

// AwaitGroups waits until so many serving groups of a model serve.
func (c *Cluster) AwaitGroups(model string, count int) {
	c.T.Helper()
	Await(c.T, strconv.Itoa(count)+" groups of "+model+" serve", func() bool {
		status, err := c.Status()
		if err != nil {
			return false
		}
		serving := 0
		for _, g := range status.Groups {
			if g.Model == model && g.State == blackboard.Serving {
				serving++
			}
		}
		return serving >= count
	})
}

// AwaitReady waits until every entry that runs is ready.
func (c *Cluster) AwaitReady() {
	c.T.Helper()
	for _, n := range c.Entries() {
		if n.Running() {
			Await(c.T, n.Spec.Name+" is ready", n.Ready)
		}
	}
}

// Ready asks a node's entry whether its balancer may send callers.
func (n *Node) Ready() bool {
	client := *noKeepAliveClient
	client.Timeout = operatorTimeout
	response, err := client.Get("http://" + n.Entry + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
