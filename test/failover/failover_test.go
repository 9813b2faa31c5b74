// Package failover measures how long the system takes to repair failures by itself: a lost
// leader, a lost member of a serving group, an entry that is cut off, a lost quorum.
//
//	go test ./test/failover -v -args -measure
//
// Without -measure each failure happens once.
package failover

import (
	"flag"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/test/process/harness"
)

var measure = flag.Bool("measure", false, "measure each failure many times and print the times")

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

func rounds() int {
	if *measure {
		return 15
	}
	return 1
}

// startCluster starts a bootstrapped cluster with three voters and all entries ready.
func startCluster(t *testing.T) *harness.Cluster {
	t.Helper()
	c := harness.NewCluster(t, harness.Standard())
	c.Found(blackboard.GroupSpec{Name: "memos", Model: "demo", Replicas: 1, VMsPerReplica: 2, Worth: 10})
	c.AwaitReady()
	awaitVoters(t, c)
	return c
}

func awaitVoters(t *testing.T, c *harness.Cluster) {
	t.Helper()
	harness.Await(t, "three voters", func() bool {
		s, err := c.Status()
		voters := 0
		for _, r := range s.Replicas {
			if r.Role != "learner" {
				voters++
			}
		}
		return err == nil && voters == 3
	})
}

// awaitLeader waits until a running control node leads and returns it.
func awaitLeader(t *testing.T, c *harness.Cluster) *harness.Node {
	t.Helper()
	var found *harness.Node
	harness.Await(t, "a control replica leads", func() bool {
		s, err := c.Status()
		for _, r := range s.Replicas {
			if r.Role == "leader" {
				found = c.Node(r.VM)
			}
		}
		return err == nil && found != nil && found.Running()
	})
	return found
}

// logTimes logs the minimum, median and maximum of the times. what describes the interval
// measured.
func logTimes(t *testing.T, what string, times []time.Duration) {
	t.Helper()
	slices.Sort(times)
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	t.Logf("%s: %d times, least %d ms, median %d ms, greatest %d ms",
		what, len(times), ms(times[0]), ms(times[len(times)/2]), ms(times[len(times)-1]))
}

// answersReads reports whether a node answers an operator's read of the configuration.
func answersReads(n *harness.Node) bool {
	var config blackboard.Configuration
	return harness.Operate(n, http.MethodGet, adminapi.PathConfiguration, nil, &config) == nil
}

// TestTimeToANewLeader measures from the kill of the leader until another control process answers
// an operator's read. A control process answers only as a leader that has committed an entry
// of its own term, or by asking such a leader.
func TestTimeToANewLeader(t *testing.T) {
	c := startCluster(t)
	var times []time.Duration
	for range rounds() {
		old := awaitLeader(t, c)
		old.Kill()
		began := time.Now()
		harness.Await(t, "another control process answers", func() bool {
			for _, n := range c.Nodes {
				if n != old && n.Spec.Control && answersReads(n) {
					return true
				}
			}
			return false
		})
		times = append(times, time.Since(began))
		old.Start()
		awaitVoters(t, c)
		harness.Await(t, "the old leader answers again", func() bool { return answersReads(old) })
	}
	logTimes(t, "leader killed, to a new leader's answer", times)
}

// TestTimeFromMemberLoss measures from the kill of a group member until the last entry has stopped
// routing to the group, and until a group with a spare VM serves.
func TestTimeFromMemberLoss(t *testing.T) {
	c := startCluster(t)
	engines := map[string]*harness.Standin{}
	for _, e := range c.StartEngines(3, "vm", "d1") {
		engines[e.ID] = e
	}
	var closed, repaired []time.Duration
	for round := range rounds() {
		g := awaitServingGroup(t, c, 0)
		awaitRouted(t, c, g.ID)
		offsets := map[string]int{}
		for _, n := range c.Entries() {
			offsets[n.Spec.Name] = len(n.Log())
		}
		lost := engines[g.Members[1].VM]
		lost.Kill()
		began := time.Now()
		later := awaitServingGroup(t, c, g.Epoch)
		repaired = append(repaired, time.Since(began))
		assert.Assert(t, later.Epoch > g.Epoch)
		closed = append(closed, lastClosed(t, c, g.ID, offsets).Sub(began))
		// A VM that keeps failing is quarantined longer each time, so each round starts a new VM.
		spare := "spare" + strconv.Itoa(round)
		engines[spare] = c.StartEngine(spare, "d1")
		harness.Await(t, "the new VM is free", func() bool { return isFree(c, spare) })
	}
	logTimes(t, "member killed, to the last entry's end of routing", closed)
	logTimes(t, "member killed, to a repaired group in service", repaired)
}

// awaitServingGroup waits until a group with an epoch later than after serves, and returns it.
func awaitServingGroup(t *testing.T, c *harness.Cluster, after uint64) blackboard.Group {
	t.Helper()
	var found blackboard.Group
	harness.Await(t, "a group serves", func() bool {
		s, err := c.Status()
		for _, g := range s.Groups {
			if g.State == blackboard.Serving && g.Epoch > after {
				found = g
			}
		}
		return err == nil && found.ID != ""
	})
	return found
}

// awaitRouted waits until the newest log line of each entry on the group says that the entry
// routes to it.
func awaitRouted(t *testing.T, c *harness.Cluster, id string) {
	t.Helper()
	for _, n := range c.Entries() {
		harness.Await(t, n.Spec.Name+" routes", func() bool {
			log := n.Log()
			return strings.LastIndex(log, "event=target_routable target="+id) > strings.LastIndex(log, "event=target_closed target="+id)
		})
	}
}

// isFree reports whether a VM is alive and in no group.
func isFree(c *harness.Cluster, vm string) bool {
	s, err := c.Status()
	for _, v := range s.VMs {
		if v.ID == vm && err == nil {
			return v.Group == "" && v.Liveness == blackboard.Alive
		}
	}
	return false
}

// lastClosed returns when the last entry stopped routing to the group, by the timestamps in the
// entries' logs. All entries run on one machine, so the timestamps are comparable.
func lastClosed(t *testing.T, c *harness.Cluster, id string, offsets map[string]int) time.Time {
	t.Helper()
	var last time.Time
	for _, n := range c.Entries() {
		at := time.Time{}
		for _, line := range strings.Split(n.Log()[offsets[n.Spec.Name]:], "\n") {
			if at.IsZero() && strings.Contains(line, "event=target_closed target="+id) {
				stamp, _, _ := strings.Cut(strings.TrimPrefix(line, "ts="), " ")
				var err error
				at, err = time.Parse(time.RFC3339Nano, stamp)
				assert.NilError(t, err)
			}
		}
		assert.Assert(t, !at.IsZero(), "%s did not close the group", n.Spec.Name)
		if at.After(last) {
			last = at
		}
	}
	return last
}

// TestTimeToInForceWithAnEntryCutOff measures from the acceptance of a change until the change is
// reported in force: first with all entries reachable, then with one entry cut off, whose
// lease must expire first.
func TestTimeToInForceWithAnEntryCutOff(t *testing.T) {
	c := startCluster(t)
	cut := c.Node("n4")
	var reachable, withEntryCut []time.Duration
	for round := range rounds() {
		reachable = append(reachable, timeToInForce(t, c, "r"+strconv.Itoa(round)))
		cut.Peers.Cut()
		for _, n := range c.Nodes {
			if n != cut {
				n.Peers.CutFrom(cut)
			}
		}
		withEntryCut = append(withEntryCut, timeToInForce(t, c, "c"+strconv.Itoa(round)))
		assert.Assert(t, !cut.Ready(), "the change is in force everywhere, but the cut-off entry still admits requests")
		for _, n := range c.Nodes {
			n.Peers.Heal()
		}
		harness.Await(t, "the entry is ready again", cut.Ready)
	}
	logTimes(t, "accepted to in force, all entries reachable", reachable)
	logTimes(t, "accepted to in force, one entry behind a cut", withEntryCut)
}

// timeToInForce makes a change and returns the time from its acceptance until it is in force.
func timeToInForce(t *testing.T, c *harness.Cluster, id string) time.Duration {
	t.Helper()
	status, err := c.Status()
	assert.NilError(t, err)
	on := awaitLeader(t, c)
	change := blackboard.ConfigChange{ChangeID: id, Expect: status.ConfigRevision, UsePreset: "peak"}
	var reply adminapi.ChangeReply
	assert.NilError(t, harness.Operate(on, http.MethodPost, adminapi.PathConfiguration, change, &reply))
	began := time.Now()
	harness.Await(t, "the change is in force", func() bool {
		var f adminapi.InForce
		path := adminapi.PathInForce + "?revision=" + strconv.FormatUint(reply.Revision, 10)
		return harness.Operate(on, http.MethodGet, path, nil, &f) == nil && f.InForce
	})
	return time.Since(began)
}

// TestTimeFromLostQuorumToRefusal measures from the loss of the quorum until the last entry
// refuses requests. This time is the cost of entry leases.
func TestTimeFromLostQuorumToRefusal(t *testing.T) {
	c := startCluster(t)
	var times []time.Duration
	for range min(rounds(), 5) {
		lost := []*harness.Node{c.Node("n1"), c.Node("n2")}
		for _, n := range lost {
			n.Kill()
		}
		began := time.Now()
		for _, n := range []*harness.Node{c.Node("n3"), c.Node("n4")} {
			harness.Await(t, n.Spec.Name+" refuses", func() bool { return !n.Ready() })
		}
		times = append(times, time.Since(began))
		for _, n := range lost {
			n.Start()
		}
		awaitVoters(t, c)
		c.AwaitReady()
	}
	logTimes(t, "quorum lost, to the last entry's refusal", times)
}
