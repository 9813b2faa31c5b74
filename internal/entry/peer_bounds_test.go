package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// maxSentBytes is where a peer that sends without end stops, and its test has failed.
const maxSentBytes = 512 << 20

// sendEndless sends one part again and again.
func sendEndless(part []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for sent := 0; sent < maxSentBytes; sent += len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}
}

// Guards against an entry that sends without end and takes the memory of those that call it.
func TestReplyOfAnEntryWithoutEndIsDropped(t *testing.T) {
	s := sharedServer(servingPool(1, 1, 1, 1), "e", nil)
	peer := s.entryClient("other", blackboard.Entry{PeerAddress: serveHolder(t, sendEndless(make([]byte, 64<<10)))})
	calls := map[string]func(context.Context) error{
		"hold":    func(ctx context.Context) error { _, err := peer.Hold(ctx, &noderpc.HoldRequest{}); return err },
		"release": func(ctx context.Context) error { _, err := peer.Release(ctx, &noderpc.ReleaseRequest{}); return err },
		"lend": func(ctx context.Context) error {
			_, err := peer.LendRetry(ctx, &noderpc.LendRetryRequest{})
			return err
		},
		"acquire": func(ctx context.Context) error { _, err := peer.Acquire(ctx, &noderpc.AcquireRequest{}); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			assert.ErrorContains(t, call(context.Background()), bounded.ErrTooLarge.Error())
		})
	}
}

// Guards against a holder of a key that sends tokens without end, and against one that sends a
// heartbeat after the other as fast as it can: the request runs here instead.
func TestHolderThatSendsWithoutEndIsDropped(t *testing.T) {
	const asked = 3
	for name, part := range map[string]string{
		"a token a line":  `{"at":%,"tokens":["x"]}` + "\n",
		"tokens in lines": `{"at":%,"tokens":["x","x","x","x"]}` + "\n",
		"heartbeats":      strings.Repeat("{}\n", 64<<10),
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			board := servingPool(1, 1, 1, 1)
			board.Entries["holder"] = blackboard.Entry{PeerAddress: serveHolder(t, func(w http.ResponseWriter, _ *http.Request) {
				for at := 0; sent.Load() < maxSentBytes; at += strings.Count(part, "x") {
					n, err := w.Write([]byte(strings.ReplaceAll(part, "%", strconv.Itoa(at))))
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})}
			s := sharedServer(board, "e", nil)
			j := &job{id: "r", key: "w/key", answer: newAnswer(), maxTokens: asked, lines: s.requests.Request()}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			j.ctx = ctx
			done, e := s.readHolder(j, "holder")
			assert.Assert(t, !done && e == nil, "%v", e)
			assert.Assert(t, ctx.Err() == nil)
			assert.Assert(t, j.answer.length() <= asked, "%d tokens", j.answer.length())
			assert.Assert(t, sent.Load() < maxSentBytes, "%d bytes", sent.Load())
		})
	}
}
