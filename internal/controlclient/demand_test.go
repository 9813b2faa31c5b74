package controlclient

import (
	"context"
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// demandTaker answers demand reports with an error.
type demandTaker struct {
	noderpc.Board
	calls int
	err   error
}

func (d *demandTaker) ReportDemand(context.Context, *noderpc.DemandReport) (*noderpc.DemandReply, error) {
	d.calls++
	return &noderpc.DemandReply{}, d.err
}

// Guards against reports that multiply while a leader is overloaded, and against a leader of an
// older version that is given up because it does not know the call.
func TestALostDemandReportIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		err    error
		leader string
	}{
		{twirp.NewError(twirp.BadRoute, "no handler"), "a"},
		{twirp.NewError(twirp.DeadlineExceeded, "slow"), "a"},
		{twirp.NewError(twirp.FailedPrecondition, "does not lead").WithMeta(MetaType, string(failure.TypeNotLeader)).WithMeta(MetaLeader, "b"), "b"},
	} {
		taker := &demandTaker{err: c.err}
		client := New([]string{"a", "b"}, http.DefaultClient, log.NewNopLogger())
		client.clients["a"] = taker
		client.setLeader("a")
		assert.Assert(t, client.ReportDemand(context.Background(), &noderpc.DemandReport{}) != nil)
		assert.Equal(t, taker.calls, 1)
		assert.Equal(t, client.Leader(), c.leader)
	}
}
