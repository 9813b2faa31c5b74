package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/citronstep/citronstep/internal/standin"
)

// Standin is a stand-in process: one engine, or one instance of a plain service.
type Standin struct {
	*Process
	ID string
	// Link is the link through which the system and other engines connect. Direct is the
	// stand-in's own address.
	Link   *Link
	Direct string
	t      T
	runs   string
}

// StartEngine starts an engine as a process. flags are command-line flags of citronstep-standin.
func (c *Cluster) StartEngine(id, domain string, flags ...string) *Standin {
	c.T.Helper()
	return c.startStandin(id, append([]string{"-fabric-domain", domain}, flags...))
}

// StartEngines starts engines with the ids PREFIX-1, PREFIX-2, ... in one fabric domain. The
// number is one digit, so count is at most nine.
func (c *Cluster) StartEngines(count int, prefix, domain string, flags ...string) []*Standin {
	c.T.Helper()
	var out []*Standin
	for i := range count {
		out = append(out, c.StartEngine(prefix+"-"+string(rune('1'+i)), domain, flags...))
	}
	return out
}

// StartService starts an instance of a plain service as a process.
func (c *Cluster) StartService(id, name string, flags ...string) *Standin {
	c.T.Helper()
	return c.startStandin(id, append([]string{"-service", name}, flags...))
}

func (c *Cluster) startStandin(id string, flags []string) *Standin {
	c.T.Helper()
	folder := filepath.Join(c.folder, id)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		c.T.Fatalf("folder of %s: %v", id, err)
	}
	s := &Standin{ID: id, Direct: FreeAddress(c.T), t: c.T, runs: filepath.Join(folder, "runs.jsonl")}
	s.Link = NewLink(c.T, id, s.Direct)
	_, port, err := net.SplitHostPort(s.Direct)
	if err != nil {
		c.T.Fatalf("address of %s: %v", id, err)
	}
	arguments := append([]string{
		"-names", id, "-first-port", port, "-advertise", s.Link.Address(),
		"-announce", strings.Join(c.announceAddresses(), ","), "-runs", s.runs,
		"-secret-file", c.tokens.backend, "-announce-secret-file", c.tokens.announce,
		"-data-centre", "dc1", "-interval", "200ms",
	}, flags...)
	s.Process = StartProcess(c.T, id, folder, Program(c.T, "citronstep-standin"), arguments...)
	s.AwaitLines(1)
	c.Standins = append(c.Standins, s)
	return s
}

// announceAddresses returns the addresses of the links on which entries receive announcements.
func (c *Cluster) announceAddresses() []string {
	var out []string
	for _, n := range c.Entries() {
		out = append(out, n.Announce.Address())
	}
	return out
}

// Fault posts a fault order to the stand-in. It repeats the order until the stand-in accepts it,
// so that the order also reaches a stand-in that restarts after a crash.
func (s *Standin) Fault(o standin.FaultOrder) {
	s.t.Helper()
	body, err := json.Marshal(o)
	if err != nil {
		s.t.Fatalf("fault of %s: %v", s.ID, err)
	}
	Await(s.t, s.ID+" accepts the fault order", func() bool {
		response, err := noKeepAliveClient.Post("http://"+s.Direct+standin.PathFaults, "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// Arrivals returns the generations and calls that have reached the stand-in since its process
// started.
func (s *Standin) Arrivals() []standin.Arrival {
	s.t.Helper()
	response, err := noKeepAliveClient.Get("http://" + s.Direct + standin.PathArrivals)
	if err != nil {
		s.t.Fatalf("arrivals of %s: %v", s.ID, err)
	}
	defer func() { _ = response.Body.Close() }()
	var out []standin.Arrival
	if err := json.NewDecoder(response.Body).Decode(&out); err != nil {
		s.t.Fatalf("arrivals of %s: %v", s.ID, err)
	}
	return out
}

// Runs returns the runs since the first start of the process, each in its last recorded state, in
// the order of their starts. Restarts don't clear them.
func (s *Standin) Runs() []standin.Run {
	file, err := os.Open(s.runs)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var out []standin.Run
	at := map[string]int{}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var run standin.Run
		if json.Unmarshal(lines.Bytes(), &run) != nil {
			continue
		}
		id := run.Incarnation + "/" + run.Attempt + "/" + run.Started.String()
		if i, known := at[id]; known {
			out[i] = run
			continue
		}
		at[id] = len(out)
		out = append(out, run)
	}
	return out
}

// Runs returns the runs of all stand-ins in the order of their start times. All stand-ins read
// the clock of the same machine.
func (c *Cluster) Runs() []standin.Run {
	var out []standin.Run
	for _, s := range c.Standins {
		out = append(out, s.Runs()...)
	}
	slices.SortStableFunc(out, func(a, b standin.Run) int { return a.Started.Compare(b.Started) })
	return out
}

// RunsOf returns the runs of one request, identified by its prompt or by the hash of its body.
func (c *Cluster) RunsOf(work string) []standin.Run {
	var out []standin.Run
	for _, run := range c.Runs() {
		if run.Work == work {
			out = append(out, run)
		}
	}
	return out
}
