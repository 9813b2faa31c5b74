package replica

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/duplex/duplextest"
	"github.com/citronstep/citronstep/internal/rpc/raftrpc"
)

// Guards against a replica that sends without end and takes the memory of the others.
func TestReplyOfAReplicaWithoutEndIsDropped(t *testing.T) {
	const most = 128 << 20
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		part := make([]byte, 64<<10)
		for sent := 0; sent < most; sent += len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	c := newConnection(Options{}.withDefaults())
	t.Cleanup(c.closeIdle)
	peer := c.rpc(strings.TrimPrefix(s.URL, "http://"))
	calls := map[string]func(context.Context) error{
		"deliver":  func(ctx context.Context) error { _, err := peer.Deliver(ctx, &raftrpc.DeliverRequest{}); return err },
		"identity": func(ctx context.Context) error { _, err := peer.Identity(ctx, &raftrpc.IdentityRequest{}); return err },
		"join":     func(ctx context.Context) error { _, err := peer.Join(ctx, &raftrpc.JoinRequest{}); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			assert.ErrorContains(t, call(context.Background()), bounded.ErrTooLarge.Error())
		})
	}
}

// Guards against the same by a reply whose head never ends.
func TestHeadOfAReplicaWithoutEndIsDropped(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X", strings.Repeat("x", 2*maxReplyBytes))
	}))
	t.Cleanup(s.Close)
	c := newConnection(Options{}.withDefaults())
	t.Cleanup(c.closeIdle)
	_, err := c.rpc(strings.TrimPrefix(s.URL, "http://")).Identity(context.Background(), &raftrpc.IdentityRequest{})
	assert.ErrorContains(t, err, "headers exceeded")
}

// Guards against a part of a reply that is taken for the whole one, as its connection is reset.
func TestReplyThatIsResetIsNotComplete(t *testing.T) {
	c := newConnection(Options{}.withDefaults())
	t.Cleanup(c.closeIdle)
	duplextest.CheckReset(t, c.http)
}
