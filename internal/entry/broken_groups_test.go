package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/announcement"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/settings"
)

// movingBoard is a follower whose board tests replace.
type movingBoard struct {
	fixedBoard
	mu    sync.Mutex
	board *blackboard.Board
}

func (f *movingBoard) Board() *blackboard.Board {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.board
}

func (f *movingBoard) set(b *blackboard.Board) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.board = b
}

// endlessStreams is a Forwarder that begins each stream and ends none but those on one server.
type endlessStreams struct {
	ends string

	mu    sync.Mutex
	calls []backend.ForwardCall
	begun sync.WaitGroup
}

func (f *endlessStreams) Forward(ctx context.Context, c backend.ForwardCall) (*backend.ForwardAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, c)
	var body io.Reader = strings.NewReader(events("1", "2"))
	if c.Address != f.ends {
		body = io.MultiReader(strings.NewReader(events("1")), untilDone{ctx})
	}
	if !c.Resume {
		f.begun.Done()
	}
	return &backend.ForwardAnswer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), Length: -1, Proven: true}, nil
}

// untilDone blocks until a context ends.
type untilDone struct{ ctx context.Context }

func (u untilDone) Read([]byte) (int, error) {
	<-u.ctx.Done()
	return 0, u.ctx.Err()
}

// updateRoutesSlowly updates the routes while the evidence is locked for a moment, as it is beside many announcements.
func updateRoutesSlowly(s *Server) {
	locked := make(chan struct{})
	go s.o.Announcements.WithTable(func(*evidence.Table) {
		close(locked)
		time.Sleep(50 * time.Millisecond)
	})
	<-locked
	s.updateRoutes()
}

// checkProgressUntil watches the groups as the route loop does.
func (s *Server) checkProgressUntil(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(dispatchInterval):
			s.checkProgress(time.Now())
		}
	}
}

// Guards against streams of broken groups that use up their attempts on other groups that the same board breaks.
func TestStreamsOfBrokenGroupsAreNotSentToOtherBrokenGroups(t *testing.T) {
	const groups, sound = 40, "m-0"
	board := sharedBoard(t, 1, "c")
	board.Groups = make(map[string]blackboard.Group)
	broken := *board
	broken.Revision, broken.Groups = board.Revision+1, make(map[string]blackboard.Group)
	for i := range groups {
		id := fmt.Sprint("m-", i)
		g := blackboard.Group{
			ID: id, Spec: "m", Model: "m", Epoch: 1, State: blackboard.Serving,
			Members: []blackboard.GroupMember{{VM: id, Incarnation: "i-" + id, Address: id}},
		}
		board.Groups[id] = g
		if id != sound {
			g.State = blackboard.Broken
		}
		broken.Groups[id] = g
	}
	follower := &movingBoard{fixedBoard: fixedBoard{lease: time.Minute}, board: board}
	f := &endlessStreams{ends: sound}
	s := NewServer(Options{
		ID: "e0", Settings: settings.Entry{MaxOpen: 1000, Deaf: true, RampMillis: 1, RetryRatio: 1, RetrySlack: 5000},
		Follower: follower, Logger: log.NewNopLogger(), Forwarder: f, Peers: http.DefaultClient, Client: idleClient{},
		Announcements: announcement.New(announcement.Options{Self: "e0", Board: follower.Board, Lease: follower.LeaseRemaining, Logger: log.NewNopLogger()}),
	})
	s.ApplyBoard(board)
	s.updateRoutes()
	var open sync.WaitGroup
	f.begun.Add(groups)
	for i := range groups {
		open.Go(func() {
			w, e, aborted := send(s, ForwardRequest{ID: fmt.Sprint(i), Path: "/x", Model: "m", PromptTokens: 1, AnswerTokens: 1})
			assert.Check(t, e == nil && !aborted && w.Body.String() == events("1", "2"), "stream %d is cut", i)
		})
	}
	f.begun.Wait()
	follower.set(&broken)
	s.ApplyBoard(&broken)
	updateRoutesSlowly(s)
	done := make(chan struct{})
	go func() {
		open.Wait()
		close(done)
	}()
	s.checkProgressUntil(done)
	misdirected := 0
	for _, c := range f.calls {
		if c.Resume && c.Address != sound {
			misdirected++
		}
	}
	assert.Equal(t, misdirected, 0, "of %d further attempts", len(f.calls)-groups)
}
