package capacity

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/test/process/harness"
)

// A fleet has fleetControls control processes. fleetVoters of them vote, and all answer watches.
const (
	fleetControls = 10
	fleetVoters   = 5
)

// smallSpreadFleet is a number of entries just above the 400 from which an entry's watches are
// spread over the control processes.
const smallSpreadFleet = 420

// Guards against one control process that answers the watches of a thousand entries and has no
// processor time left for consensus.
func TestFleet(t *testing.T) {
	counts, span := []int{smallSpreadFleet}, 200*time.Millisecond
	if *measure {
		counts, span = parseNumbers(t, *fleets), *window
	}
	lines := []string{
		"| entries | servers | role | core, % | memory, MB | in all entries, median ms | longest ms | changes | next change after the leader's end, ms | all entries started, ms |",
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
	}
	for _, n := range counts {
		t.Run(strconv.Itoa(n), func(t *testing.T) { lines = append(lines, measureFleet(t, n, span)...) })
	}
	if *measure {
		t.Logf("\n%s\n", strings.Join(lines, "\n"))
	}
}

// measureFleet returns the table lines for one number of entries. The control processes are real;
// the entries are followers of the blackboard in the test process. It measures what the control
// processes use, how long a change takes to reach all followers, and how long no change is
// possible after the leader is killed.
func measureFleet(t *testing.T, entryCount int, span time.Duration) []string {
	s := startControls(t)
	s.foundWith()
	began := time.Now()
	f := followAll(t, s, entryCount)
	f.awaitLeases()
	started := time.Since(began)
	servers := 0
	if *measure {
		servers = *serversPerEntry * entryCount
		announceAll(t, s, servers)
		time.Sleep(settleTime)
	}
	leader := s.moveLeaderLast()
	before := s.usages()
	time.Sleep(span)
	used := rates(before, s.usages(), span)
	inForce := s.changes(span)
	f.awaitConfiguration(s.revision)

	leader.Kill()
	ended := time.Now()
	s.changeAfterFailover()
	outage := time.Since(ended)
	f.awaitConfiguration(s.revision)

	last := len(used) - 1
	times := fmt.Sprintf("%.0f | %.0f | %d | %d | %d", inForce[len(inForce)/2], inForce[len(inForce)-1], len(inForce),
		outage.Milliseconds(), started.Milliseconds())
	return []string{
		fleetLine(entryCount, servers, "leader", used[last], times),
		fleetLine(entryCount, servers, "others, mean", mean(used[:last]), "| | | |"),
	}
}

func fleetLine(entries, servers int, role string, u usage, times string) string {
	const percent = 100
	return fmt.Sprintf("| %d | %d | %s | %.1f | %.1f | %s |", entries, servers, role, u.cpu*percent, u.memory, times)
}

// startControls starts the control processes of a fleet.
func startControls(t *testing.T) *system {
	t.Helper()
	s := &system{t: t}
	folder := t.TempDir()
	all := make([]*settings.Settings, fleetControls)
	for i := range all {
		name := fmt.Sprintf("n%03d", i)
		all[i] = nodeSettings(t, filepath.Join(folder, name), name, true)
		all[i].Control.Voters = fleetVoters
		s.control = append(s.control, all[i].Peers.Listen)
	}
	path := harness.Program(t, "citronstepd")
	for _, n := range all {
		n.Peers.Control = s.control
		s.nodes = append(s.nodes, startNode(t, path, filepath.Join(folder, n.VM), n))
	}
	return s
}

// moveLeaderLast moves the leader to the end of the nodes and returns it. Operators' calls go to
// the first node, and so to another process than the leader.
func (s *system) moveLeaderLast() *harness.Node {
	s.t.Helper()
	leader, last := s.leader(), len(s.nodes)-1
	for i, n := range s.nodes {
		if n.Process.Name == leader {
			s.nodes[i], s.nodes[last] = s.nodes[last], n
			return n
		}
	}
	s.t.Fatalf("no control process is the leader")
	return nil
}

// changeAfterFailover repeats one change until a new leader has accepted it.
func (s *system) changeAfterFailover() {
	s.t.Helper()
	change := blackboard.ConfigChange{ChangeID: fmt.Sprint("c", s.revision), Expect: s.revision, UsePreset: "peak"}
	harness.Await(s.t, "a new leader accepts a change", func() bool {
		var reply adminapi.ChangeReply
		if harness.Operate(s.nodes[0], http.MethodPost, adminapi.PathConfiguration, change, &reply) != nil {
			return false
		}
		s.revision = reply.Revision
		return true
	})
}
