package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/auth"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/invariant"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

// system is one node with every role and stand-in backend servers, in the test's process.
type system struct {
	t        *testing.T
	settings *settings.Settings
	node     *Node
	engines  []*standin.Engine
	service  *standin.Service
	// ran is closed when the node's Run has returned; stop makes it return.
	ran  chan struct{}
	stop context.CancelFunc
	log  *testWriter
}

func itoa(n int) string { return strconv.Itoa(n) }

const (
	testKey   = "key"
	testModel = "demo"
	// groups is the number of serving groups, perGroup the number of VMs in each.
	groups   = 3
	perGroup = 2
	// testTimeout bounds each wait of a test. It does not assert a duration.
	testTimeout = 60 * time.Second
)

func start(t *testing.T, shape func(*standin.EngineOptions)) *system {
	t.Helper()
	s := &system{t: t, settings: settings.Dev(t.TempDir()), ran: make(chan struct{})}
	s.settings.Entry.Listen = harness.FreeAddress(t)
	s.settings.Entry.Advertise = s.settings.Entry.Listen
	s.settings.Admin.Listen = harness.FreeAddress(t)
	s.settings.Peers.Listen = harness.FreeAddress(t)
	s.settings.Peers.Advertise = s.settings.Peers.Listen
	s.settings.Peers.Control = []string{s.settings.Peers.Listen}
	w := &testWriter{}
	s.log = w
	t.Cleanup(func() { w.show(t) })
	n, err := New(s.settings, log.With(log.NewLogfmtLogger(w), "ts", log.DefaultTimestampUTC))
	assert.NilError(t, err)
	s.node = n
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() {
		defer close(s.ran)
		_ = n.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-s.ran
		assert.NilError(t, n.Close())
	})
	s.bootstrap()
	s.startBackends(shape)
	s.await("groups serve", func() bool { return s.serving() == groups })
	return s
}

// testWriter collects the log and prints it only if the test fails.
type testWriter struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (w *testWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.String()
}

func (w *testWriter) show(t *testing.T) {
	if !t.Failed() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Log(w.b.String())
}

func (w *testWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func (s *system) bootstrap() {
	change := blackboard.ConfigChange{
		ChangeID:   "first",
		Workspaces: []blackboard.Workspace{{Name: "w", KeySHA256: auth.KeyHash(testKey)}},
		Groups: []blackboard.GroupSpec{{
			Name: testModel, Model: testModel, Replicas: groups, VMsPerReplica: perGroup,
		}},
		Presets: []blackboard.Preset{{Name: "ordinary"}}, UsePreset: "ordinary",
	}
	body, err := json.Marshal(adminapi.InitRequest{Initial: change})
	assert.NilError(s.t, err)
	answer, err := http.Post("http://"+s.settings.Admin.Listen+adminapi.PathInit, "application/json", bytes.NewReader(body))
	assert.NilError(s.t, err)
	defer answer.Body.Close()
	assert.Equal(s.t, answer.StatusCode, http.StatusOK)
}

func (s *system) startBackends(shape func(*standin.EngineOptions)) {
	common := standin.Common{Entries: []string{s.settings.Entry.Advertise}, FabricDomain: "d", DataCentre: "dev"}
	for i := range groups * perGroup {
		o := standin.EngineOptions{Common: common}
		o.ID = string(rune('a' + i))
		if shape != nil {
			shape(&o)
		}
		e, err := standin.StartEngine(context.Background(), o)
		assert.NilError(s.t, err)
		s.t.Cleanup(e.Close)
		s.engines = append(s.engines, e)
	}
	o := standin.ServiceOptions{Common: common, Name: "files"}
	o.ID = "files-0"
	service, err := standin.StartService(context.Background(), o)
	assert.NilError(s.t, err)
	s.t.Cleanup(service.Close)
	s.service = service
}

func (s *system) await(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("timed out waiting: %s", what)
}

func (s *system) serving() int {
	n := 0
	for _, g := range s.node.control.Status().Groups {
		if g.State.Routable() {
			n++
		}
	}
	return n
}

// answer is the answer that a caller received.
type answer struct {
	status  int
	text    string
	failure failure.Error
	header  http.Header
}

func (s *system) post(prompt string, maxTokens int, headers map[string]string) answer {
	body, _ := json.Marshal(map[string]any{"model": testModel, "prompt": prompt, "max_tokens": maxTokens})
	return s.send("/v1/completions", string(body), headers)
}

func (s *system) send(path, body string, headers map[string]string) answer {
	s.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+s.settings.Entry.Listen+path, bytes.NewBufferString(body))
	assert.NilError(s.t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	response, err := http.DefaultClient.Do(r)
	assert.NilError(s.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	a := answer{status: response.StatusCode, header: response.Header}
	var decoded struct {
		Choices []struct{ Text string }
		Error   *failure.Error
	}
	_ = json.Unmarshal(data, &decoded)
	if len(decoded.Choices) > 0 {
		a.text = decoded.Choices[0].Text
	}
	if decoded.Error != nil {
		a.failure = *decoded.Error
	}
	return a
}

// runs returns the number of runs of a prompt on all engines.
func (s *system) runs(prompt string) int {
	n := 0
	for _, e := range s.engines {
		for _, r := range e.Runs() {
			if r.Work == prompt {
				n++
			}
		}
	}
	return n
}
