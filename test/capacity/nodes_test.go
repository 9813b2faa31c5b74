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
	// clockTickSeconds is the unit of processor time in /proc.
	clockTickSeconds = 0.01
	// settleTime excludes elections, the formation of groups and first snapshots from the
	// measurement.
	settleTime = 4 * time.Second
)

// system is a running system of real processes, without links between the processes.
type system struct {
	t     *testing.T
	nodes []*harness.Node
	// control holds the peer addresses of the control processes.
	control []string
	// revision is the newest revision of the configuration.
	revision uint64
}

// TestNodes measures what each process spends without requests, against the number of entries:
// processor time, memory, and bytes read and written. It also measures the time from the
// acceptance of a change until the change is in force.
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

// parseNumbers parses a comma-separated list of numbers.
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

// measureSystem returns the table lines for one number of entries.
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

// startSystem starts a system of entryCount nodes, controlCount of them with control, and its
// engines.
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

// startNode starts a daemon process with settings n.
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

// nodeSettings returns the settings of a node that listens on free addresses.
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

// startEngines starts one process with all engines, which announce to every node.
func (s *system) startEngines(folder string) {
	var announce []string
	for _, n := range s.nodes {
		announce = append(announce, n.Entry)
	}
	harness.StartProcess(s.t, "engines", folder, harness.Program(s.t, "citronstep-standin"),
		"-engines", strconv.Itoa(*engines), "-fabric-domain", "rack-1", "-data-centre", "dev", "-announce", strings.Join(announce, ","))
}

// found bootstraps the cluster with one group spec that uses all engines.
func (s *system) found() {
	s.t.Helper()
	s.foundWith(blackboard.GroupSpec{Name: "demo", Model: "demo", Replicas: *engines / vmsPerReplica, VMsPerReplica: vmsPerReplica})
}

// foundWith bootstraps the cluster with the given groups and two presets to switch between.
func (s *system) foundWith(groups ...blackboard.GroupSpec) {
	s.t.Helper()
	request := adminapi.InitRequest{Initial: blackboard.ConfigChange{
		ChangeID: "first", Groups: groups, Presets: []blackboard.Preset{{Name: "ordinary"}, {Name: "peak"}}, UsePreset: "ordinary",
	}}
	harness.Await(s.t, "the cluster is bootstrapped", func() bool {
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

// awaitServing waits until all groups are routable and every entry has a lease.
func (s *system) awaitServing() {
	s.t.Helper()
	harness.Await(s.t, "all groups are routable and all entries have a lease", func() bool {
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

// leader returns the name of the leading node, or "" if there is none.
func (s *system) leader() string {
	status, _ := s.status()
	for _, r := range status.Replicas {
		if r.Role == "leader" {
			return r.VM
		}
	}
	return ""
}

// changes makes configuration changes one after the other for the time span, at least one. It
// returns the sorted times in milliseconds from acceptance to in force.
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

// inForcePollInterval is the resolution of the times returned by changes.
const inForcePollInterval = time.Millisecond

func (s *system) inForce(path string) bool {
	var answer adminapi.InForce
	return harness.Operate(s.nodes[0], http.MethodGet, path, nil, &answer) == nil && answer.InForce
}

// usage is what one process uses. cpu is in seconds, memory in MB, read and written are in KB.
// In the result of rates, cpu is the share of one core, and read and written are per second.
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
	// The fields after the program's name, which may contain spaces.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	const userTime, systemTime = 11, 12
	user, _ := strconv.ParseFloat(string(fields[userTime]), 64)
	system, _ := strconv.ParseFloat(string(fields[systemTime]), 64)
	return usage{
		cpu:    (user + system) * clockTickSeconds,
		memory: procValue(t, folder+"status", "VmRSS:") / kilo,
		// The bytes passed to read and write calls, on sockets and files alike.
		read:    procValue(t, folder+"io", "rchar:") / kilo,
		written: procValue(t, folder+"io", "wchar:") / kilo,
	}
}

// procValue returns the value of a line "NAME VALUE" of a file in /proc.
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

// rates returns the usage per second between two readings. memory is that of the later reading.
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

// rows returns one table line each for the leader, the mean of the other control nodes and the
// mean of the entry-only nodes.
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
