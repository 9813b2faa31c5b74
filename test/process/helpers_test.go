package process

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/test/process/harness"
)

func replaceKey(document, hash string) string {
	return strings.Replace(document, "KEY", hash, 1)
}

// awaitAnswer waits until an entry answers: its routes follow the board.
func awaitAnswer(t *testing.T, n *harness.Node, request harness.Completion) {
	t.Helper()
	var last harness.Reply
	harness.Await(t, n.Spec.Name+" answers", func() bool {
		last = harness.Complete(t.Context(), n.Entry, request)
		return last.Right(request)
	})
}

var prompts atomic.Int64

// newPrompt returns a prompt that no other request of this run has, so that
// its runs can be counted.
func newPrompt(text string) string {
	return fmt.Sprintf("%s #%d", text, prompts.Add(1))
}

// smallSystem is a founded cluster with so many serving groups of one VM each
// for the model "demo", whose entries all answer.
func smallSystem(t *testing.T, spec harness.ClusterSpec, groups int, flags ...string) (*harness.Cluster, []*harness.Standin) {
	t.Helper()
	c := harness.NewCluster(t, spec)
	c.Found(blackboard.GroupSpec{Name: "memos", Model: "demo", Replicas: groups, VMsPerReplica: 1, Worth: 10})
	engines := c.StartEngines(groups, "vm", "d1", flags...)
	c.AwaitGroups("demo", groups)
	for _, n := range c.Entries() {
		awaitAnswer(t, n, harness.Completion{Model: "demo", Prompt: newPrompt("ready?"), MaxTokens: 1})
	}
	return c, engines
}
