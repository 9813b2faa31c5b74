package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/controlclient"
	"github.com/citronstep/citronstep/internal/follow"
	"github.com/citronstep/citronstep/test/process/harness"
)

// announceInterval is the time between two announcements of one backend server.
const announceInterval = time.Second

// announceWorkers is the maximum number of announcements in flight.
const announceWorkers = 64

// fleet holds the followers of the blackboard that stand for the entries of a system.
type fleet struct {
	t         *testing.T
	followers []*follow.Follower
}

// followAll starts the followers of n entries. Each follower has its own connections.
func followAll(t *testing.T, s *system, n int) *fleet {
	t.Helper()
	f := &fleet{t: t}
	ctx, running := contextUntilCleanup(t)
	for i := range n {
		name := fmt.Sprintf("entry-%04d", i)
		transport := &http.Transport{IdleConnTimeout: time.Minute}
		client := controlclient.New(s.control, &http.Client{Transport: transport}, log.NewNopLogger())
		follower := follow.New(follow.Options{
			Watcher: client, Logger: log.NewNopLogger(), OnControlAddresses: client.SetMembers, StartWithoutLease: true,
			Entry: blackboard.Entry{ID: name, Address: name + ":8080", PeerAddress: name + ":8081", DataCentre: "dev", Deaf: true},
		})
		f.followers = append(f.followers, follower)
		running.Go(func() {
			defer transport.CloseIdleConnections()
			follower.Run(ctx)
		})
	}
	return f
}

// contextUntilCleanup returns a context that is cancelled when the test ends, and a group that the
// test then waits for.
func contextUntilCleanup(t *testing.T) (context.Context, *sync.WaitGroup) {
	ctx, cancel := context.WithCancel(context.Background())
	running := new(sync.WaitGroup)
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return ctx, running
}

// awaitLeases waits until all entries hold a lease.
func (f *fleet) awaitLeases() {
	f.t.Helper()
	f.await("all entries hold a lease", func(e *follow.Follower) bool { return e.LeaseRemaining() > 0 })
}

// awaitConfiguration waits until all entries have at least this revision of the configuration.
func (f *fleet) awaitConfiguration(revision uint64) {
	f.t.Helper()
	f.await("all entries have the configuration", func(e *follow.Follower) bool { return e.Board().Config.Revision >= revision })
}

// await waits until holds returns true for every follower.
func (f *fleet) await(what string, holds func(*follow.Follower) bool) {
	f.t.Helper()
	harness.Await(f.t, what, func() bool {
		for _, e := range f.followers {
			if !holds(e) {
				return false
			}
		}
		return true
	})
}

// announceAll announces n engines without a group to the control processes other than the last
// one, each engine once per announceInterval, until the test ends.
func announceAll(t *testing.T, s *system, n int) {
	t.Helper()
	if n == 0 {
		return
	}
	ctx, running := contextUntilCleanup(t)
	client := &http.Client{Timeout: announceInterval, Transport: &http.Transport{MaxIdleConnsPerHost: announceWorkers}}
	due := make(chan int)
	for range announceWorkers {
		running.Go(func() {
			for i := range due {
				announceOnce(ctx, client, s.nodes[i%(len(s.nodes)-1)].Entry, i)
			}
		})
	}
	running.Go(func() {
		defer close(due)
		ticker := time.NewTicker(announceInterval / time.Duration(n))
		defer ticker.Stop()
		began, sent := time.Now(), 0
		for ctx.Err() == nil {
			<-ticker.C
			for ; time.Duration(sent)*announceInterval/time.Duration(n) < time.Since(began); sent++ {
				due <- sent % n
			}
		}
	})
}

// announceOnce sends one announcement. It ignores errors, because the next announcement follows
// after announceInterval, as with a real backend server.
func announceOnce(ctx context.Context, client *http.Client, entry string, i int) {
	body, err := json.Marshal(&backend.Announcement{
		ID: vmName(i), Incarnation: "first", Sequence: uint64(time.Now().UnixNano()), Kind: backend.KindEngine, Address: vmName(i) + ":9000",
		DataCentre: "dev", FabricDomain: fmt.Sprint("rack-", i/vmsPerDomain), Accelerators: 1, Phase: backend.PhaseIdle,
	})
	if err != nil {
		return
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+backend.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return
	}
	reply, err := client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, reply.Body)
	_ = reply.Body.Close()
}

// vmsPerDomain is the number of VMs in a fabric domain.
const vmsPerDomain = 73
