package entry

import (
	"context"
	"net/http"
	"testing"

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
