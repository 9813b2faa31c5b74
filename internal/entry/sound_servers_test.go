package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/announcement"
	"github.com/citronstep/citronstep/internal/auth"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/settings"
)

// streamEvents is the number of events of wholeStream.
const streamEvents = 40

// wholeStream is the complete answer of a sound server.
var wholeStream = numberedEvents(streamEvents)

func numberedEvents(count int) string {
	var ids []string
	for i := range count {
		ids = append(ids, strconv.Itoa(i+1))
	}
	return events(ids...)
}

// soundServers answers each call with a stream that goes on as the test says, until its entry ends the call.
type soundServers struct {
	mu   sync.Mutex
	runs []*soundRun
}

// soundRun is one run of a stream.
type soundRun struct {
	ctx  context.Context
	call backend.ForwardCall
	in   chan string
	rest []byte
	// sent is the last event that was sent.
	sent uint64
	// isOver is set once the run has ended or was broken off.
	isOver bool
}

func (s *soundServers) Forward(ctx context.Context, c backend.ForwardCall) (*backend.ForwardAnswer, error) {
	r := &soundRun{ctx: ctx, call: c, in: make(chan string), sent: c.ResumeAfter}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
	return &backend.ForwardAnswer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(r), Length: -1, Proven: true}, nil
}

func (s *soundServers) last() *soundRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[len(s.runs)-1]
}

// open returns the runs that neither their server nor their entry has ended.
func (s *soundServers) open() []*soundRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.runs), func(r *soundRun) bool { return r.isOver || r.ctx.Err() != nil })
}

func (r *soundRun) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		select {
		case text, ok := <-r.in:
			switch {
			case !ok:
				return 0, io.EOF
			case text == "":
				return 0, backend.ErrCut
			}
			r.rest = []byte(text)
		case <-r.ctx.Done():
			return 0, r.ctx.Err()
		}
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// send sends the next event. It returns false if the entry has ended the call.
func (r *soundRun) send() bool {
	r.sent++
	return r.sendText(events(fmt.Sprint(r.sent)))
}

func (r *soundRun) sendText(text string) bool {
	select {
	case r.in <- text:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// breakOff ends the run as a server does that crashes.
func (r *soundRun) breakOff() {
	r.isOver = true
	r.sendText("")
}

// finish sends the rest of the stream and its end.
func (r *soundRun) finish() {
	r.isOver = true
	for r.sent < streamEvents {
		if !r.send() {
			return
		}
	}
	close(r.in)
}

// allGroups are the groups of a soundSystem.
var allGroups = []string{"m-0", "m-1", "m-2", "m-3"}

// soundSystem is an entry and sound servers in groups of one model.
type soundSystem struct {
	t       *testing.T
	s       *Server
	control *boardControl
	// follower is what the entry follows control by.
	follower *leasedBoard
	servers  *soundServers
}

// soundConfiguration has routes for streams that may resume, that may not, and that need a key.
func soundConfiguration() *blackboard.ReplaceConfiguration {
	engine := func(model string) *blackboard.EngineSpec {
		return &blackboard.EngineSpec{Slots: 100, MemoryTokens: 1, Models: []blackboard.ModelSpec{{Name: model, VMs: 1, Share: 1}}}
	}
	c := &blackboard.ReplaceConfiguration{
		Version:    1,
		Services:   []blackboard.ServiceSpec{{Name: "pool", Engine: engine("m")}, {Name: "other", Engine: engine("n")}},
		Workspaces: []blackboard.Workspace{{Name: "w", MoreKeysSHA256: []string{auth.KeyHash("good")}}, {Name: "v", MoreKeysSHA256: []string{auth.KeyHash("other")}}},
	}
	for _, name := range []string{"stream", "single", "keyed"} {
		c.Routes = append(c.Routes, blackboard.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: blackboard.RouteStreaming, Resumable: name != "single", Public: name != "keyed",
			TimeoutMillis: 20_000, MaxAttempts: 2, Backends: []blackboard.WeightedService{{Service: "pool", Weight: 1}},
		})
	}
	return c
}

// newSoundSystem starts an entry of a system that may make some retries in any ten seconds, and four groups.
func newSoundSystem(t *testing.T, retries float64) *soundSystem {
	t.Helper()
	x := &soundSystem{t: t, control: newBoardControl(blackboard.New()), servers: &soundServers{}}
	x.follower = &leasedBoard{boardControl: x.control}
	x.replace(soundConfiguration())
	x.change(func(b *blackboard.Board) {
		for _, id := range allGroups {
			b.Groups[id] = blackboard.Group{
				ID: id, Spec: "m", Model: "m", Epoch: 1, State: blackboard.Serving, RequiresOpenHead: true,
				Members: []blackboard.GroupMember{{VM: id, Incarnation: "i-" + id, Address: id}},
			}
		}
	})
	x.s = NewServer(Options{
		ID: "e", Settings: settings.Entry{MaxOpen: 100, Deaf: true, RampMillis: 1, RetryRatio: 1e-9, RetrySlack: retries},
		Follower: x.follower, Control: x.control, Logger: log.NewNopLogger(), Forwarder: x.servers,
		Announcements: announcement.New(announcement.Options{Self: "e", Board: x.control.Board, Lease: x.control.LeaseRemaining, Logger: log.NewNopLogger()}),
		Client:        idleClient{}, Prober: &fixedProber{state: backend.Listening}, Peers: &http.Client{Transport: silentPeers{}},
	})
	x.apply()
	return x
}

// idleClient is a client of backend servers without connections.
type idleClient struct{ backend.Client }

func (idleClient) RetireConnections(string) {}

// silentPeers is a transport to other entries that reaches none.
type silentPeers struct{}

func (silentPeers) RoundTrip(*http.Request) (*http.Response, error) { return nil, io.ErrUnexpectedEOF }

// change replaces the board by a changed copy, as a snapshot does.
func (x *soundSystem) change(f func(*blackboard.Board)) {
	x.t.Helper()
	data, err := x.control.Board().Encode()
	assert.NilError(x.t, err)
	next, err := blackboard.Decode(data)
	assert.NilError(x.t, err)
	f(next)
	next.Revision++
	x.control.board.Store(next)
}

// replace puts a configuration into force.
func (x *soundSystem) replace(c *blackboard.ReplaceConfiguration) {
	x.t.Helper()
	encoded, err := blackboard.Encode(c)
	assert.NilError(x.t, err)
	next, _, err := x.control.Board().Apply(encoded)
	assert.NilError(x.t, err)
	assert.Equal(x.t, next.Config.Version, c.Version)
	x.control.board.Store(next)
}

// follow makes the entry follow the board.
func (x *soundSystem) follow() {
	x.s.ApplyBoard(x.control.Board())
	x.s.updateRoutes()
}

// apply makes the entry follow the board and waits for the effects.
func (x *soundSystem) apply() {
	x.follow()
	synctest.Wait()
}

// changeGroups changes groups.
func (x *soundSystem) changeGroups(ids []string, f func(b *blackboard.Board, g blackboard.Group)) {
	x.change(func(b *blackboard.Board) {
		for _, id := range ids {
			f(b, b.Groups[id])
		}
	})
}

// moveGroups puts groups into a state.
func (x *soundSystem) moveGroups(ids []string, to blackboard.GroupState) {
	x.changeGroups(ids, func(b *blackboard.Board, g blackboard.Group) {
		g.State, g.Members = to, nil
		b.Groups[g.ID] = g
	})
}

// pass lets time pass while the entry watches its groups.
func (x *soundSystem) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(dispatchInterval) {
		x.s.checkProgress(time.Now())
	}
	synctest.Wait()
}

// soundCaller is a caller whose answer has begun.
type soundCaller struct {
	w       *httptest.ResponseRecorder
	failure *failure.Error
	aborted bool
	done    chan struct{}
}

// call sends a request.
func (x *soundSystem) call(route string) *soundCaller {
	c := &soundCaller{w: httptest.NewRecorder(), done: make(chan struct{})}
	go func() {
		defer close(c.done)
		defer c.noteAbort()
		c.failure = x.s.Forward(context.Background(), c.w, ForwardRequest{
			ID: fmt.Sprint("id-", len(x.servers.runs)), Host: "h", Method: http.MethodPost, Path: "/" + route + "/x", Model: "m", Key: "good",
		})
	}()
	synctest.Wait()
	return c
}

// begin sends a request and lets its answer begin.
func (x *soundSystem) begin(route string) *soundCaller {
	c := x.call(route)
	x.servers.last().send()
	synctest.Wait()
	return c
}

// noteAbort records that the answer is closed before its end.
func (c *soundCaller) noteAbort() {
	switch v := recover(); v {
	case nil:
	case http.ErrAbortHandler:
		c.aborted = true
	default:
		panic(v)
	}
}

// beginMany lets the answers of some requests begin.
func (x *soundSystem) beginMany(route string, n int) (callers []*soundCaller) {
	for range n {
		callers = append(callers, x.begin(route))
	}
	return callers
}

// finish lets all runs end and checks that each caller has the whole answer.
func (x *soundSystem) finish(callers ...*soundCaller) {
	x.t.Helper()
	for runs := x.servers.open(); len(runs) > 0; runs = x.servers.open() {
		for _, r := range runs {
			r.finish()
		}
		synctest.Wait()
	}
	whole := 0
	for _, c := range callers {
		<-c.done
		if !c.aborted && c.failure == nil && c.w.Body.String() == wholeStream {
			whole++
			continue
		}
		x.t.Logf("aborted %t, failure %v, answer %q", c.aborted, c.failure, c.w.Body)
	}
	// The checks of broken connections end.
	time.Sleep(2 * crashWait)
	assert.Equal(x.t, whole, len(callers), "answers that are whole; %d runs", len(x.servers.runs))
}
