package capacity

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/test/process/harness"
)

const (
	controlCount  = 3
	vmsPerReplica = 2
	// clockTickSeconds is the unit of processor time in /proc, in seconds.
	clockTickSeconds = 0.01
	// settleTime lets elections, groups and first snapshots pass unmeasured.
	settleTime = 4 * time.Second
)

// system is a running system of real processes, without links between them.
type system struct {
	t     *testing.T
	nodes []*harness.Node
	// control holds the peer addresses of the control processes.
	control  []string
	revision uint64
}

// TestNodes measures what a process spends on control, without requests:
// processor time, memory and bytes read and written, against the number of
// entries, and the time from accepted to in force.
func TestNodes(t *testing.T) {
	counts, span := []int{4}, 200*time.Millisecond
	if *measure {
		counts, span = parseNumbers(t, *entries), *window
	}
	lines := []string{
		"| entries | role | core, % | memory, MB | read, KB/s | written, KB/s | in force, median ms | 99th ms | changes |",
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
	}
	for _, n := range counts {
		t.Run(strconv.Itoa(n), func(t *testing.T) { lines = append(lines, measureSystem(t, n, span)...) })
	}
	if *measure {
		t.Logf("\n%s\n", strings.Join(lines, "\n"))
	}
}

func parseNumbers(t *testing.T, list string) []int {
	t.Helper()
	var all []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(text)
		assert.NilError(t, err)
		all = append(all, n)
	}
	return all
}

func measureSystem(t *testing.T, entryCount int, span time.Duration) []string {
	s := startSystem(t, entryCount)
	s.found()
	s.awaitServing()
	if *measure {
		time.Sleep(settleTime)
	}
	leader := s.leader()
	before := s.usages()
	time.Sleep(span)
	used := rates(before, s.usages(), span)
	inForce := s.changes(span)
	assert.Assert(t, len(inForce) > 0)
	return s.rows(leader, used, inForce)
}

func startSystem(t *testing.T, entryCount int) *system {
	t.Helper()
	s := &system{t: t}
	folder := t.TempDir()
	var control []string
	all := make([]*settings.Settings, entryCount)
	for i := range all {
		name := fmt.Sprintf("n%03d", i)
		all[i] = nodeSettings(t, filepath.Join(folder, name), name, i < controlCount)
		if i < controlCount {
			control = append(control, all[i].Peers.Listen)
		}
	}
	path := harness.Program(t, "citronstepd")
	for _, n := range all {
		n.Peers.Control = control
		s.nodes = append(s.nodes, startNode(t, path, filepath.Join(folder, n.VM), n))
	}
	s.startEngines(folder)
	return s
}

// startNode starts a daemon with its settings.
func startNode(t *testing.T, path, folder string, n *settings.Settings) *harness.Node {
	t.Helper()
	node := &harness.Node{Entry: n.Entry.Listen, Admin: n.Admin.Listen, Folder: folder}
	assert.NilError(t, os.MkdirAll(folder, 0o700))
	body, err := toml.Marshal(n)
	assert.NilError(t, err)
	file := filepath.Join(folder, "settings.toml")
	assert.NilError(t, os.WriteFile(file, body, 0o600))
	node.Process = harness.StartProcess(t, n.VM, folder, path, "-settings", file)
	return node
}

func nodeSettings(t *testing.T, folder, name string, control bool) *settings.Settings {
	s := settings.Dev(folder)
	s.VM = name
	s.Entry.Listen = harness.FreeAddress(t)
	s.Entry.Advertise = s.Entry.Listen
	s.Peers.Listen = harness.FreeAddress(t)
	s.Peers.Advertise = s.Peers.Listen
	s.Admin.Listen = harness.FreeAddress(t)
	s.Control.Enabled = control
	s.Control.Voters = controlCount
	s.Control.DataFolder = filepath.Join(folder, "data")
	return s
}

func (s *system) startEngines(folder string) {
	var announce []string
	for _, n := range s.nodes {
		announce = append(announce, n.Entry)
	}
	harness.StartProcess(s.t, "engines", folder, harness.Program(s.t, "citronstep-standin"),
		"-engines", strconv.Itoa(*engines), "-fabric-domain", "rack-1", "-data-centre", "dev", "-announce", strings.Join(announce, ","))
}

func (s *system) found() {
	s.t.Helper()
	s.foundWith(blackboard.GroupSpec{Name: "demo", Model: "demo", Replicas: *engines / vmsPerReplica, VMsPerReplica: vmsPerReplica})
}

// foundWith founds the cluster with two presets to change between.
func (s *system) foundWith(groups ...blackboard.GroupSpec) {
	s.t.Helper()
	request := adminapi.InitRequest{Initial: blackboard.ConfigChange{
		ChangeID: "first", Groups: groups, Presets: []blackboard.Preset{{Name: "ordinary"}, {Name: "peak"}}, UsePreset: "ordinary",
	}}
	harness.Await(s.t, "the founding", func() bool {
		var reply adminapi.InitReply
		return harness.Operate(s.nodes[0], http.MethodPost, adminapi.PathInit, request, &reply) == nil
	})
	s.revision = 1
}

func (s *system) status() (adminapi.Status, bool) {
	var status adminapi.Status
	err := harness.Operate(s.nodes[0], http.MethodGet, adminapi.PathStatus, nil, &status)
	return status, err == nil
}

// awaitServing waits until all groups serve and every entry has a lease.
func (s *system) awaitServing() {
	s.t.Helper()
	harness.Await(s.t, "all groups serving and all entries with a lease", func() bool {
		status, ok := s.status()
		serving, leased := 0, 0
		for _, g := range status.Groups {
			if g.State.Routable() {
				serving++
			}
		}
		for _, e := range status.Entries {
			if e.LeaseMillis > 0 {
				leased++
			}
		}
		return ok && serving == *engines/vmsPerReplica && leased == len(s.nodes)
	})
}

func (s *system) leader() string {
	status, _ := s.status()
	for _, r := range status.Replicas {
		if r.Role == "leader" {
			return r.VM
		}
	}
	return ""
}

// changes makes configuration changes one after the other and returns the
// milliseconds from accepted to in force of each.
func (s *system) changes(span time.Duration) []float64 {
	s.t.Helper()
	var times []float64
	for began := time.Now(); len(times) == 0 || time.Since(began) < span; {
		preset := []string{"peak", "ordinary"}[len(times)%2]
		change := blackboard.ConfigChange{ChangeID: fmt.Sprint("c", s.revision), Expect: s.revision, UsePreset: preset}
		var reply adminapi.ChangeReply
		assert.NilError(s.t, harness.Operate(s.nodes[0], http.MethodPost, adminapi.PathConfiguration, change, &reply))
		s.revision = reply.Revision
		accepted := time.Now()
		path := adminapi.PathInForce + "?revision=" + strconv.FormatUint(reply.Revision, 10)
		for !s.inForce(path) {
			assert.Assert(s.t, time.Since(accepted) < harness.AwaitTimeout, "revision %d is not in force", reply.Revision)
			time.Sleep(inForcePollInterval)
		}
		times = append(times, time.Since(accepted).Seconds()*kilo)
	}
	sort.Float64s(times)
	return times
}

// inForcePollInterval is the resolution of the times to in force.
const inForcePollInterval = time.Millisecond

func (s *system) inForce(path string) bool {
	var answer adminapi.InForce
	return harness.Operate(s.nodes[0], http.MethodGet, path, nil, &answer) == nil && answer.InForce
}

// usage is what one process has spent since its start.
type usage struct{ cpu, memory, read, written float64 }

func (s *system) usages() []usage {
	s.t.Helper()
	all := make([]usage, len(s.nodes))
	for i, n := range s.nodes {
		all[i] = readUsage(s.t, n.PID())
	}
	return all
}

func readUsage(t *testing.T, pid int) usage {
	t.Helper()
	folder := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(folder + "stat")
	assert.NilError(t, err)
	// The fields after the program's name, which may hold spaces.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	const userTime, systemTime = 11, 12
	user, _ := strconv.ParseFloat(string(fields[userTime]), 64)
	system, _ := strconv.ParseFloat(string(fields[systemTime]), 64)
	return usage{
		cpu:    (user + system) * clockTickSeconds,
		memory: procValue(t, folder+"status", "VmRSS:") / kilo,
		// Bytes passed to read and write, of sockets and files alike.
		read:    procValue(t, folder+"io", "rchar:") / kilo,
		written: procValue(t, folder+"io", "wchar:") / kilo,
	}
}

func procValue(t *testing.T, path, name string) float64 {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == name {
			value, err := strconv.ParseFloat(fields[1], 64)
			assert.NilError(t, err)
			return value
		}
	}
	t.Fatalf("%s has no %s", path, name)
	return 0
}

func rates(before, after []usage, span time.Duration) []usage {
	out := make([]usage, len(after))
	for i, b := range before {
		a := after[i]
		out[i] = usage{
			cpu: (a.cpu - b.cpu) / span.Seconds(), memory: a.memory,
			read: (a.read - b.read) / span.Seconds(), written: (a.written - b.written) / span.Seconds(),
		}
	}
	return out
}

// rows returns the lines of the leader, of the mean follower and of the mean
// entry that holds no control state.
func (s *system) rows(leader string, used []usage, inForce []float64) []string {
	byRole := map[string][]usage{}
	for i, n := range s.nodes {
		role := "entry"
		if i < controlCount {
			role = "control"
		}
		if n.Process.Name == leader {
			role = "control, leading"
		}
		byRole[role] = append(byRole[role], used[i])
	}
	var lines []string
	for _, role := range []string{"control, leading", "control", "entry"} {
		u := mean(byRole[role])
		const percent = 100
		lines = append(lines, fmt.Sprintf("| %d | %s | %.1f | %.1f | %.1f | %.1f | %.0f | %.0f | %d |", len(s.nodes), role,
			u.cpu*percent, u.memory, u.read, u.written, inForce[len(inForce)/2], inForce[len(inForce)*99/100], len(inForce)))
	}
	return lines
}

func mean(all []usage) usage {
	var sum usage
	for _, u := range all {
		sum.cpu += u.cpu
		sum.memory += u.memory
		sum.read += u.read
		sum.written += u.written
	}
	n := max(1, float64(len(all)))
	return usage{cpu: sum.cpu / n, memory: sum.memory / n, read: sum.read / n, written: sum.written / n}
}
