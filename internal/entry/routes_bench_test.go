package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/citronstep/citronstep/internal/announcement"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/settings"
)

// BenchmarkUpdateRoutes measures one update of the routes without any change, in an entry that
// receives no announcements, with 79 groups of a pool of 1,095 VMs:
//
//	go test -run '^$' -bench BenchmarkUpdateRoutes -benchmem ./internal/entry
func BenchmarkUpdateRoutes(b *testing.B) {
	s := deafServer(servingPool(16, 32, 63, 8))
	s.updateRoutes()
	b.ReportAllocs()
	for b.Loop() {
		s.updateRoutes()
	}
}

// deafServer returns an entry that receives no announcements and relies on its board.
func deafServer(board *blackboard.Board) *Server {
	follower := fixedBoard{board: board, lease: time.Minute}
	receiver := announcement.New(announcement.Options{Self: "e", Board: follower.Board, Lease: follower.LeaseRemaining, Logger: log.NewNopLogger()})
	return NewServer(Options{
		ID: "e", Settings: settings.Entry{MaxOpen: 10, Deaf: true, RampMillis: 1}, Follower: follower, Announcements: receiver,
		Logger: log.NewNopLogger(),
	})
}

// servingPool returns a board with the given numbers of serving groups in two sizes.
func servingPool(wide, wideSize, narrow, narrowSize int) *blackboard.Board {
	board := blackboard.New()
	board.Config.Revision = 1
	add := func(model string, groups, size int) {
		board.Config.Groups[model] = blackboard.GroupSpec{Name: model, Model: model, VMsPerReplica: size}
		for n := range groups {
			g := blackboard.Group{
				ID: fmt.Sprintf("%s-%d", model, n), Spec: model, Model: model, Epoch: uint64(n + 1), State: blackboard.Serving,
				FabricDomain: fmt.Sprint("domain-", n%15), RequiresOpenHead: true,
			}
			for i := range size {
				g.Members = append(g.Members, blackboard.GroupMember{
					VM: fmt.Sprintf("vm-%s-%d-%d", model, n, i), Incarnation: fmt.Sprintf("life-%s-%d-%d", model, n, i), Address: "10.0.0.1:80",
				})
			}
			board.Groups[g.ID] = g
		}
	}
	add("wide", wide, wideSize)
	add("narrow", narrow, narrowSize)
	return board
}
