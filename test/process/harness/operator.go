package harness

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
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

// noKeepAliveClient opens a connection for each request, so that each request is sent only once:
// net/http resends a request when a reused connection breaks.
var noKeepAliveClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// WorkspaceKey is the key of the workspace "dev", which Found creates.
const WorkspaceKey = "dev-key"

// KeyHash returns the hash of a workspace key in the form that the configuration holds.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Operate sends one admin API call to a node and decodes the answer into reply. It returns a
// refusal as *failure.Error.
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

// parseRefusal returns the failure in the body of an error response, or an internal failure if
// the body holds none.
func parseRefusal(status int, data []byte) error {
	var refusal failure.Body
	if json.Unmarshal(data, &refusal) == nil && refusal.Error != nil {
		return refusal.Error
	}
	return failure.New(failure.TypeInternal, "status "+strconv.Itoa(status)+": "+string(data))
}

// Found bootstraps the cluster with the workspace "dev", the active preset "ordinary" and the
// given group specs.
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

// Status returns the system's status from the first control node that answers.
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

// Change makes a configuration change on top of the newest revision. It repeats the change until
// the change is accepted, and fails the test if the change is malformed.
func (c *Cluster) Change(change blackboard.ConfigChange) {
	c.T.Helper()
	id, conflicts, shown := change.ChangeID, 0, ""
	// Each new error is logged, so that the log explains a change that is never accepted.
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
		if failure.Is(err, failure.TypeConflict) {
			// A conflict is the outcome of its id for good.
			conflicts++
			change.ChangeID = fmt.Sprintf("%s-%d", id, conflicts)
		}
		return err == nil
	})
}

// AwaitGroups waits until at least count serving groups of a model are in state serving.
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

// AwaitReady waits until every running entry is ready.
func (c *Cluster) AwaitReady() {
	c.T.Helper()
	for _, n := range c.Entries() {
		if n.Running() {
			Await(c.T, n.Spec.Name+" is ready", n.Ready)
		}
	}
}

// Ready reports whether the node's entry answers its load balancer's health check as ready.
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
