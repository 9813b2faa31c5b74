package controlclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// board serves watches as a control process does. Methods that the test doesn't need are
// missing.
type board struct {
	noderpc.Board
	watch func() (*noderpc.WatchReply, error)
	calls int
}

func (b *board) Watch(context.Context, *noderpc.WatchRequest) (*noderpc.WatchReply, error) {
	b.calls++
	return b.watch()
}

// serve starts a control process and returns its address.
func serve(t *testing.T, b *board) string {
	t.Helper()
	s := httptest.NewServer(noderpc.NewBoardServer(b))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against entries that try one follower after the other. A thousand entries start for
// the first time. No follower knows them, and each attempt would cost a survey of all control
// processes.
func TestAWatchThatAFollowerRefusesGoesToTheLeaderAtOnce(t *testing.T) {
	leader := &board{watch: func() (*noderpc.WatchReply, error) { return &noderpc.WatchReply{Revision: 7}, nil }}
	at := serve(t, leader)
	refusing := func() (*noderpc.WatchReply, error) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "does not lead").
			WithMeta(MetaType, string(failure.TypeNotLeader)).WithMeta(MetaLeader, at)
	}
	followers, addresses := []*board{}, []string{}
	for range 4 {
		f := &board{watch: refusing}
		followers, addresses = append(followers, f), append(addresses, serve(t, f))
	}
	c := New(addresses, http.DefaultClient, log.NewNopLogger())

	reply, err := c.Watch(context.Background(), &noderpc.WatchRequest{EntryId: "e", Spread: true})

	assert.NilError(t, err)
	assert.Equal(t, reply.Revision, uint64(7))
	asked := 0
	for _, f := range followers {
		asked += f.calls
	}
	assert.Equal(t, asked, 1)
}
