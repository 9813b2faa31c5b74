package controlclient

import (
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

const errAway = errors.ConstError("connection refused")

// An entry starts without a leader to ask. One control process has been away for
// hundreds of changes and is the first to answer. Its board must not be taken
// before a majority has answered, and then only if it is the newest.
func TestTheNewestBoardOfAMajority(t *testing.T) {
	at := func(revision uint64) lastKnown {
		return lastKnown{reply: &noderpc.LastKnownReply{Revision: revision}}
	}
	led := lastKnown{reply: &noderpc.LastKnownReply{Revision: 2, LeaderAddress: "l"}}
	away := lastKnown{err: errAway}
	for _, c := range []struct {
		name    string
		answers []lastKnown
		want    uint64
		fails   bool
	}{
		{"the old one answers first", []lastKnown{at(3), at(400), at(401)}, 400, false},
		{"the newest answers first", []lastKnown{at(401), at(3), at(400)}, 401, false},
		{"one is away", []lastKnown{away, at(3), at(400)}, 400, false},
		{"a minority answers", []lastKnown{away, at(3), away}, 0, true},
		{"half is no majority", []lastKnown{away, at(3), away, at(4)}, 0, true},
		{"nobody is known", nil, 0, true},
		{"one that has lost its disk holds nothing", []lastKnown{at(0), at(3), away}, 0, true},
		{"one knows a leader", []lastKnown{at(0), at(3), led}, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			answers := make(chan lastKnown, len(c.answers))
			for _, a := range c.answers {
				answers <- a
			}
			best, err := newest(answers, len(c.answers))
			if c.fails {
				assert.Equal(t, failure.From(err).Type, failure.TypeUnavailable)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, best.reply.Revision, c.want)
		})
	}
}
