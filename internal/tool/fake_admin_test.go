package tool

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

// fakeAdmin serves the admin API from a real blackboard without a cluster.
type fakeAdmin struct {
	*httptest.Server
	mu    sync.Mutex
	board *blackboard.Board
	token string
	// loseAnswers is the number of further changes that are applied while their response is
	// lost.
	loseAnswers int
	// refuseInits is the number of further init requests to refuse, as if a peer could not be
	// asked.
	refuseInits int
	// pending is the number of further polls for which in-force reports a pending entry.
	pending int
	posts   []blackboard.ConfigChange
	// onStatus, if not nil, modifies each status before it is sent.
	onStatus func(*adminapi.Status)
	events   []adminapi.Events
}

func newFakeAdmin(t *testing.T) *fakeAdmin {
	f := &fakeAdmin{board: blackboard.New()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adminapi.PathStatus, f.status)
	mux.HandleFunc("POST "+adminapi.PathInit, f.initCluster)
	mux.HandleFunc("GET "+adminapi.PathConfiguration, f.configuration)
	mux.HandleFunc("POST "+adminapi.PathConfiguration, f.change)
	mux.HandleFunc("POST "+adminapi.PathReplaceConfiguration, f.replace)
	mux.HandleFunc("GET "+adminapi.PathInForce, f.inForce)
	mux.HandleFunc("GET "+adminapi.PathEvents, f.nextEvents)
	mux.HandleFunc("GET "+adminapi.PathEvacuations, f.evacuations)
	mux.HandleFunc("POST "+adminapi.PathEvacuations+"/{name}", f.evacuate)
	mux.HandleFunc("DELETE "+adminapi.PathEvacuations+"/{name}", f.evacuate)
	f.Server = httptest.NewServer(f.authenticated(mux))
	t.Cleanup(f.Close)
	return f
}

// set changes the fake between runs. It also waits for a handler whose connection was closed,
// because the tool may return before that handler does.
func (f *fakeAdmin) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeAdmin) address() string { return strings.TrimPrefix(f.URL, "http://") }

func (f *fakeAdmin) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.token != "" && r.Header.Get("Authorization") != "Bearer "+f.token {
			failure.Write(w, failure.New(failure.TypeUnauthenticated, "wrong token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func (f *fakeAdmin) status(w http.ResponseWriter, _ *http.Request) {
	s := adminapi.Status{
		ClusterID: f.board.ClusterID, Founded: f.board.ClusterID != "",
		BoardRevision: f.board.Revision, ConfigRevision: f.board.Config.Revision,
		Replicas:     []adminapi.Replica{{ID: "1", VM: "control-1", Role: roleLeader}},
		ActivePreset: f.board.Config.ActivePreset, Presets: sortedKeys(f.board.Config.Presets),
	}
	if f.onStatus != nil {
		f.onStatus(&s)
	}
	answer(w, s)
}

func (f *fakeAdmin) initCluster(w http.ResponseWriter, r *http.Request) {
	if f.refuseInits > 0 {
		f.refuseInits--
		failure.Write(w, failure.New(failure.TypeConflict, "a peer could not be asked whether it belongs to a cluster"))
		return
	}
	var request adminapi.InitRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	f.apply(blackboard.Found{ClusterID: "cluster-1", Initial: request.Initial})
	answer(w, adminapi.InitReply{ClusterID: f.board.ClusterID})
}

func (f *fakeAdmin) apply(c blackboard.Command) []byte {
	data, err := blackboard.Encode(c)
	if err != nil {
		panic(err)
	}
	next, result, err := f.board.Apply(data)
	if err != nil {
		panic(err)
	}
	f.board = next
	return result
}

func (f *fakeAdmin) evacuate(w http.ResponseWriter, r *http.Request) {
	var outcome blackboard.EvacuationOutcome
	order := blackboard.SetEvacuation{DataCentre: r.PathValue("name"), End: r.Method == http.MethodDelete, NowMillis: 1_700_000_000_000}
	_ = json.Unmarshal(f.apply(order), &outcome)
	answer(w, adminapi.EvacuationReply{Revision: outcome.Revision, Changed: outcome.Changed})
}

func (f *fakeAdmin) evacuations(w http.ResponseWriter, _ *http.Request) {
	list := adminapi.Evacuations{}
	for _, name := range sortedKeys(f.board.Evacuations) {
		row := f.board.Evacuations[name]
		e := adminapi.Evacuation{DataCentre: name, SinceMillis: row.SinceMillis, Revision: row.Revision, InForce: f.pending == 0}
		if f.pending > 0 {
			f.pending--
			e.Pending = []string{"entry-1"}
		}
		list.Evacuations = append(list.Evacuations, e)
	}
	answer(w, list)
}

func (f *fakeAdmin) configuration(w http.ResponseWriter, _ *http.Request) { answer(w, f.board.Config) }

func (f *fakeAdmin) change(w http.ResponseWriter, r *http.Request) {
	var c blackboard.ConfigChange
	_ = json.NewDecoder(r.Body).Decode(&c)
	f.posts = append(f.posts, c)
	var outcome blackboard.ChangeOutcome
	_ = json.Unmarshal(f.apply(c), &outcome)
	switch {
	case f.loseAnswers > 0:
		f.loseAnswers--
		connection, _, _ := w.(http.Hijacker).Hijack()
		_ = connection.Close()
	case outcome.Failure != nil:
		failure.Write(w, outcome.Failure)
	default:
		answer(w, adminapi.ChangeReply{Revision: outcome.Revision})
	}
}

func (f *fakeAdmin) replace(w http.ResponseWriter, r *http.Request) {
	var c blackboard.ReplaceConfiguration
	_ = json.NewDecoder(r.Body).Decode(&c)
	var outcome blackboard.ReplaceOutcome
	_ = json.Unmarshal(f.apply(c), &outcome)
	answer(w, adminapi.ReplaceReply{Version: outcome.Version, Revision: f.board.Config.Revision, Replaced: outcome.Replaced})
}

func (f *fakeAdmin) inForce(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	reply := adminapi.InForce{Revision: revision, InForce: f.pending <= 0}
	if f.pending > 0 {
		f.pending--
		reply.Pending = []string{"entry-2"}
	}
	answer(w, reply)
}

func (f *fakeAdmin) nextEvents(w http.ResponseWriter, r *http.Request) {
	if len(f.events) == 0 {
		failure.Write(w, failure.New(failure.TypeNotFound, "no more events"))
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	batch := adminapi.Events{Leader: f.events[0].Leader}
	for _, e := range f.events[0].Events {
		if e.Sequence > after {
			batch.Events = append(batch.Events, e)
		}
	}
	f.events = f.events[1:]
	answer(w, batch)
}

// result is the outcome of one run of the tool.
type result struct {
	code     ExitCode
	out, err string
}

func runTool(addresses string, args ...string) result {
	var out, errOut bytes.Buffer
	env := map[string]string{EnvAddresses: addresses}
	code := Run(context.Background(), args, Streams{Out: &out, Err: &errOut}, func(k string) string { return env[k] })
	return result{code, out.String(), errOut.String()}
}

// must runs the tool and fails the test unless it exits with want.
func (f *fakeAdmin) must(t *testing.T, want ExitCode, args ...string) result {
	t.Helper()
	r := runTool(f.address(), args...)
	f.set(func() {})
	assert.Equal(t, r.code, want, "citronstep %s: %s%s", strings.Join(args, " "), r.out, r.err)
	return r
}
