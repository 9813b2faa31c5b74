package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

// PathCrashes is where an entry takes reports of crashes from its peers.
const PathCrashes = "/crashes"

const (
	// forwardAfter is how long a report of a crash may take to be written before peers get it too.
	forwardAfter = 500 * time.Millisecond
	// maxForwardPeers bounds the peers that an entry forwards a report to. Those that can't write it
	// either forward it to as many, until all know it.
	maxForwardPeers = 6
	forwardTimeout  = time.Second
	// maxTakenDelay is the longest time until a peer's report is written: less than unseenTime, for
	// which it counts meanwhile.
	maxTakenDelay = time.Second
	// maxForwardBytes bounds the reports of one message.
	maxForwardBytes = 1 << 20
)

// forwardCrashes sends the crashes that could not be written yet to peers, each once. A peer counts
// them, and writes them if it reaches the leader.
//
// Failure: no control process leads. Each entry counts the crashes that it has seen itself, and a
// request crashes as many servers as that allows at each of hundreds of entries.
func (s *Server) forwardCrashes() {
	peers := s.forwardPeers()
	if len(peers) == 0 || s.o.Peers == nil {
		return
	}
	reports := s.suspectWriter.takeUnforwarded(time.Now())
	if len(reports) == 0 {
		return
	}
	body, err := json.Marshal(reports)
	if err != nil {
		_ = level.Error(s.o.Logger).Log("event", "crashes_not_forwarded", "err", err)
		return
	}
	_ = level.Info(s.o.Logger).Log("event", "crashes_forwarded", "reports", len(reports), "peers", len(peers))
	for _, p := range peers {
		go s.sendCrashes(p, body)
	}
}

// takeUnforwarded returns the pending reports that no peer was sent.
func (q *suspectWriter) takeUnforwarded(now time.Time) []*blackboard.ReportCrash {
	q.mu.Lock()
	defer q.mu.Unlock()
	var reports []*blackboard.ReportCrash
	for _, w := range q.pending {
		report, ok := w.change.(*blackboard.ReportCrash)
		if !ok || w.isForwarded {
			continue
		}
		w.isForwarded = true
		reports = append(reports, report.After(now.Sub(w.since), now))
	}
	return reports
}

// forwardPeers returns other entries, drawn at random.
func (s *Server) forwardPeers() []blackboard.Entry {
	var peers []blackboard.Entry
	for id, e := range s.o.Follower.Board().Entries {
		if id != s.o.ID && e.PeerAddress != "" {
			peers = append(peers, e)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxForwardPeers)]
}

func (s *Server) sendCrashes(to blackboard.Entry, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	if err := s.postCrashes(ctx, to.PeerAddress, body); err != nil {
		_ = level.Info(s.o.Logger).Log("event", "crashes_not_forwarded", "to", to.ID, "err", err)
	}
}

func (s *Server) postCrashes(ctx context.Context, address string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathCrashes, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	answer, err := s.o.Peers.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusNoContent {
		return errors.Trace(failure.New(failure.TypeUnavailable, "the peer answered "+answer.Status))
	}
	return nil
}

// ServeCrashes takes reports of crashes from a peer that could not write them.
func (s *Server) ServeCrashes(w http.ResponseWriter, r *http.Request) {
	var reports []*blackboard.ReportCrash
	if err := json.NewDecoder(io.LimitReader(r.Body, maxForwardBytes)).Decode(&reports); err != nil {
		failure.Write(w, failure.New(failure.TypeBadRequest, "reports of crashes: "+err.Error()).WithRan(failure.RanNo))
		return
	}
	taken := 0
	for _, report := range reports {
		if report.IsIn(s.suspects()) {
			continue
		}
		taken++
		s.takeCrash(time.Now(), report)
	}
	_ = level.Info(s.o.Logger).Log("event", "crashes_taken", "reports", len(reports), "new", taken)
	w.WriteHeader(http.StatusNoContent)
}

// takeCrash counts a peer's report at once and writes it a little later, unless another peer has written
// it by then.
func (s *Server) takeCrash(now time.Time, report *blackboard.ReportCrash) {
	report = report.After(0, now)
	s.suspectWriter.observe(now, report)
	time.AfterFunc(rand.N(maxTakenDelay), func() {
		if !report.IsIn(s.o.Follower.Board().Suspects) {
			s.writeSuspect(report.After(time.Since(now), time.Now()))
		}
	})
}
