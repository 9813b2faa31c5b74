package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronstep/citronstep/internal/backend"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEntry accepts announcements and keeps the newest one of each stand-in.
type fakeEntry struct {
	mu     sync.Mutex
	newest map[string]backend.Announcement
}

func newEntry(t *testing.T) (*fakeEntry, string) {
	f := &fakeEntry{newest: map[string]backend.Announcement{}}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return f, s.Listener.Addr().String()
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a backend.Announcement
	_ = json.NewDecoder(r.Body).Decode(&a)
	f.mu.Lock()
	f.newest[a.ID] = a
	f.mu.Unlock()
	writeJSON(w, http.StatusOK, backend.AnnounceReply{IntervalMillis: 10})
}

func (f *fakeEntry) get(id string) backend.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest[id]
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func startEngine(t *testing.T, o EngineOptions) *Engine {
	t.Helper()
	o.MemberInterval = 10 * time.Millisecond
	e, err := StartEngine(t.Context(), o)
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	return e
}

func newClient(t *testing.T) *backend.HTTPClient {
	c := backend.NewHTTPClient(backend.Options{})
	t.Cleanup(c.Close)
	return c
}

// form orders the engines to form one group and waits until the group serves.
func form(t *testing.T, c backend.Client, epoch uint64, engines ...*Engine) {
	t.Helper()
	var members []backend.GroupMember
	for _, e := range engines {
		members = append(members, backend.GroupMember{VM: e.common.ID, Address: e.Address()})
	}
	for rank, e := range engines {
		reply, err := c.Order(t.Context(), e.Address(), backend.Order{
			Kind: backend.OrderLoad, Token: backend.FencingToken{Term: 1, Epoch: epoch},
			Group: "g", Model: "demo", Members: members, Rank: rank,
		})
		assert.NilError(t, err)
		assert.Assert(t, reply.Accepted)
	}
	await(t, "group serves", func() bool {
		g := engines[0].currentState().group
		return g != nil && g.isServing(time.Now())
	})
}

func generation(prompt string, epoch uint64) backend.Generation {
	return backend.Generation{
		Attempt: "a-" + prompt, Request: "r-" + prompt, Group: "g", Epoch: epoch, Model: "demo",
		Prompt: prompt, MaxTokens: 8,
	}
}

// read returns the tokens of an answer and the error that ended it.
func read(t *testing.T, c backend.Client, e *Engine, g backend.Generation) ([]backend.Token, error) {
	t.Helper()
	s, err := c.Generate(t.Context(), e.Address(), g)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	var tokens []backend.Token
	for {
		token, err := s.Next()
		if err != nil {
			return tokens, err
		}
		if !token.KeepAlive {
			tokens = append(tokens, token)
		}
	}
}

func textOf(tokens []backend.Token) string {
	var b strings.Builder
	for _, token := range tokens {
		b.WriteString(token.Text)
	}
	return b.String()
}

func TestGroupAnswersTheExpectedText(t *testing.T) {
	entry, address := newEntry(t)
	c := newClient(t)
	head := startEngine(t, EngineOptions{Common: Common{ID: "vm-0", Entries: []string{address}, FabricDomain: "d1"}})
	member := startEngine(t, EngineOptions{Common: Common{ID: "vm-1", Entries: []string{address}}})
	form(t, c, 1, head, member)
	await(t, "announced as ready", func() bool {
		a := entry.get("vm-0")
		return a.Phase == backend.PhaseReady && a.Group == "g" && a.Epoch == 1 && a.FabricDomain == "d1"
	})

	g := generation("hello", 1)
	tokens, err := read(t, c, head, g)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, textOf(tokens), ExpectedText("hello", 8))

	g.Attempt, g.Offset = "resumed", 5
	tokens, err = read(t, c, head, g)
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, strings.HasSuffix(ExpectedText("hello", 8), textOf(tokens)))
	assert.Equal(t, tokens[0].Offset, 5)

	assert.Equal(t, len(head.Runs()), 2)
	// The engine records the end of a run after it has sent the end mark.
	await(t, "recorded as finished", func() bool { return head.Runs()[1].Outcome == OutcomeFinished })
}

func TestRefusesGenerationsItDoesNotServe(t *testing.T) {
	c := newClient(t)
	head := startEngine(t, EngineOptions{Common: Common{ID: "vm-0"}})
	member := startEngine(t, EngineOptions{Common: Common{ID: "vm-1"}})
	form(t, c, 2, head, member)
	known := generation("known", 2)
	_, err := read(t, c, head, known)
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, c.Cancel(t.Context(), head.Address(), "a-overtaken"))
	for name, test := range map[string]struct {
		engine     *Engine
		generation backend.Generation
	}{
		"old epoch":                {head, generation("x", 1)},
		"no head":                  {member, generation("x", 2)},
		"known attempt":            {head, known},
		"cancelled before it came": {head, generation("overtaken", 2)},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := read(t, c, test.engine, test.generation)
			var e *backend.CallError
			assert.Assert(t, errors.As(err, &e), "%v", err)
			assert.Equal(t, e.Stage, backend.StageRefused)
		})
	}
	assert.Equal(t, len(head.Runs())+len(member.Runs()), 1)
}

func TestCancelEndsARun(t *testing.T) {
	c := newClient(t)
	e := startEngine(t, EngineOptions{Common: Common{ID: "vm-0"}, TokenInterval: time.Hour})
	form(t, c, 1, e)
	s, err := c.Generate(t.Context(), e.Address(), generation("p", 1))
	assert.NilError(t, err)
	defer func() { _ = s.Close() }()
	await(t, "run begins", func() bool { return len(e.Runs()) == 1 })
	assert.NilError(t, c.Cancel(t.Context(), e.Address(), "a-p"))
	_, err = s.Next()
	assert.ErrorIs(t, err, backend.ErrCut)
	await(t, "run ends", func() bool { return e.Runs()[0].Outcome == OutcomeCancelled })
}

// The process on one of two VMs of a replica dies. The streams of the replica must stall and
// then break although the head is healthy. The head must announce the missing member and refuse
// new work as not started.
func TestLostMemberFailsTheGroup(t *testing.T) {
	entry, address := newEntry(t)
	c := newClient(t)
	options := EngineOptions{
		Common:        Common{ID: "vm-0", Entries: []string{address}},
		TokenInterval: 5 * time.Millisecond, MemberTimeout: 200 * time.Millisecond, GroupTimeout: 200 * time.Millisecond,
	}
	head := startEngine(t, options)
	options.ID = "vm-1"
	member := startEngine(t, options)
	form(t, c, 1, head, member)
	g := generation("p", 1)
	g.MaxTokens = 1 << 20
	s, err := c.Generate(t.Context(), head.Address(), g)
	assert.NilError(t, err)
	defer func() { _ = s.Close() }()
	_, err = s.Next()
	assert.NilError(t, err)
	member.crash()
	for err == nil {
		_, err = s.Next()
	}
	assert.ErrorIs(t, err, backend.ErrCut)
	await(t, "failure announced", func() bool {
		a := entry.get("vm-0")
		return a.Phase == backend.PhaseFailed && len(a.Unreachable) == 1 && a.Unreachable[0] == "vm-1"
	})
	_, err = read(t, c, head, generation("q", 1))
	var e *backend.CallError
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Stage, backend.StageRefused)
}

func TestFencingModes(t *testing.T) {
	c := newClient(t)
	order := func(e *Engine, term uint64, kind backend.OrderKind) bool {
		reply, err := c.Order(t.Context(), e.Address(), backend.Order{
			Kind: kind, Token: backend.FencingToken{Term: term, Epoch: 1}, Group: "g", Model: "demo",
			Members: []backend.GroupMember{{VM: e.common.ID, Address: e.Address()}},
		})
		assert.NilError(t, err)
		return reply.Accepted
	}
	checking := startEngine(t, EngineOptions{Common: Common{ID: "vm-0"}})
	assert.Assert(t, order(checking, 5, backend.OrderLoad))
	assert.Assert(t, !order(checking, 4, backend.OrderRelease))
	assert.Assert(t, checking.currentState().group != nil)

	ignoring := startEngine(t, EngineOptions{Common: Common{ID: "vm-1"}, Fencing: FencingIgnore})
	assert.Assert(t, order(ignoring, 5, backend.OrderLoad))
	assert.Assert(t, order(ignoring, 4, backend.OrderRelease))
	await(t, "released", func() bool {
		s := ignoring.currentState()
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.group == nil
	})
}

func TestCrashMarkerStartsNewIncarnation(t *testing.T) {
	c := newClient(t)
	e := startEngine(t, EngineOptions{Common: Common{
		ID: "vm-0", Faults: Faults{CrashMarker: "boom"}, RestartAfter: time.Millisecond,
	}})
	form(t, c, 1, e)
	first, address := e.Incarnation(), e.Address()
	_, err := read(t, c, e, generation("boom", 1))
	assert.Assert(t, err != nil && err != io.EOF)
	await(t, "returns", func() bool { return e.Incarnation() != first })
	assert.Equal(t, e.Address(), address)
	assert.Assert(t, e.currentState().group == nil)
	assert.Equal(t, e.Runs()[0].Outcome, OutcomeCrashed)
}

func TestStreamFaults(t *testing.T) {
	c := newClient(t)
	e := startEngine(t, EngineOptions{Common: Common{ID: "vm-0"}})
	form(t, c, 1, e)
	for kind, test := range map[StreamFault]struct {
		tokens int
		want   error
	}{
		StreamCut:       {3, backend.ErrCut},
		StreamMalformed: {3, backend.ErrMalformed},
		StreamOverlong:  {3, backend.ErrLineTooLong},
		StreamDoubled:   {10, io.EOF},
		StreamSkipped:   {8, io.EOF},
		StreamCrossed:   {10, io.EOF},
		StreamShort:     {4, io.EOF},
		StreamLate:      {9, io.EOF},
	} {
		t.Run(string(kind), func(t *testing.T) {
			e.Apply(FaultOrder{Faults: Faults{Stream: StreamFaults{Kind: kind, After: 3, DelayMillis: 1, Answers: 1}}})
			tokens, err := read(t, c, e, generation(string(kind), 1))
			assert.ErrorIs(t, err, test.want)
			assert.Equal(t, len(tokens), test.tokens)
			tokens, err = read(t, c, e, generation(string(kind)+"-after", 1))
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, textOf(tokens), ExpectedText(string(kind)+"-after", 8))
		})
	}
}

// Silence must block requests on pooled connections while requests on new connections succeed.
func TestSilenceAffectsOpenConnectionsOnly(t *testing.T) {
	c := newClient(t)
	e := startEngine(t, EngineOptions{Common: Common{ID: "vm-0"}})
	form(t, c, 1, e)
	e.Apply(FaultOrder{Silence: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Generate(ctx, e.Address(), generation("old", 1))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	c.RetireConnections(e.Address())
	_, err = read(t, c, e, generation("new", 1))
	assert.Equal(t, err, io.EOF)
}

func TestHighestPriorityGetsTheNextSlot(t *testing.T) {
	s := newScheduler(1, 3)
	first := s.enter(0)
	low, high, late := s.enter(1), s.enter(9), s.enter(9)
	assert.Assert(t, s.enter(9) == nil)
	for _, next := range []*ticket{high, late, low} {
		s.leave(first)
		first = next
		select {
		case <-next.ready:
		default:
			t.Fatal("slot given out of order")
		}
	}
}

func TestWeightsAreLoadedOnce(t *testing.T) {
	store, err := StartWeightStore(t.Context(), WeightStoreOptions{ModelBytes: 100 << 10})
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	c := newClient(t)
	e := startEngine(t, EngineOptions{Common: Common{ID: "vm-0"}, WeightStore: store.Address()})
	form(t, c, 1, e)
	form(t, c, 2, e)
	assert.Equal(t, store.Loads(), int64(1))
}

func TestCacheEventsShowGaps(t *testing.T) {
	cache := newPrefixCache(EngineOptions{CacheBlocks: 1, CacheGap: 2})
	for block := range uint64(3) {
		assert.Equal(t, cache.insert([]uint64{block}), 1)
	}
	assert.DeepEqual(t, cache.due(time.Now()), []backend.CacheEvent{
		{Sequence: 1, Added: []uint64{0}},
		{Sequence: 3, Added: []uint64{2}, Removed: []uint64{1}},
	})
}

func TestLoadIsReportedLate(t *testing.T) {
	r := &loadReport{lag: time.Second}
	start := time.Now()
	assert.Assert(t, r.report(start, backend.Load{Running: 1}) == nil)
	late := r.report(start.Add(1500*time.Millisecond), backend.Load{Running: 2})
	assert.Equal(t, late.Running, 1)
	assert.Equal(t, late.AgeMillis, int64(1500))
}

func TestServiceEchoesAndRecords(t *testing.T) {
	entry, address := newEntry(t)
	c := newClient(t)
	s, err := StartService(t.Context(), ServiceOptions{
		Common: Common{ID: "audit-0", Entries: []string{"127.0.0.1:1", address}}, Name: "audit",
	})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	await(t, "announced", func() bool { return entry.get("audit-0").Service == "audit" })
	call := backend.ServiceCall{Attempt: "a1", Method: "PUT", Path: "/files/1?x=2", Body: []byte("note")}
	answer, err := c.Call(t.Context(), s.Address(), call)
	assert.NilError(t, err)
	var echo ServiceEcho
	assert.NilError(t, json.NewDecoder(answer.Body).Decode(&echo))
	assert.NilError(t, answer.Body.Close())
	assert.DeepEqual(t, echo, ServiceEcho{
		Service: "audit", Instance: "audit-0", Method: "PUT", Path: "/files/1?x=2", BodyHash: BodyHash(call.Body), Run: 1,
	})
	assert.Equal(t, s.Runs()[0].Attempt, "a1")

	s.Apply(FaultOrder{Faults: Faults{Stream: StreamFaults{Kind: StreamCut, After: 5}}})
	answer, err = c.Call(t.Context(), s.Address(), call)
	assert.NilError(t, err)
	_, err = io.ReadAll(answer.Body)
	assert.ErrorIs(t, err, backend.ErrCut)
	assert.NilError(t, answer.Body.Close())
}

// faultWatcher is a response whose header is checked against the faults in force when it is sent.
type faultWatcher struct {
	*httptest.ResponseRecorder
	onHeader func()
}

func (w faultWatcher) WriteHeader(status int) {
	w.onHeader()
	w.ResponseRecorder.WriteHeader(status)
}

// Guards against a request that is sent right after a fault order was answered and doesn't meet the fault.
func TestFaultsAreInForceWhenTheirOrderIsAnswered(t *testing.T) {
	e := startEngine(t, EngineOptions{Common: Common{ID: "vm-0"}})
	inForce := false
	w := faultWatcher{httptest.NewRecorder(), func() { inForce = e.faults.get().FullQueue }}
	e.serveFaults(w, httptest.NewRequest(http.MethodPost, PathFaults, strings.NewReader(`{"full_queue":true}`)))
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, inForce)
}
