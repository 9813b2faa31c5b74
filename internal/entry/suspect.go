package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// A request that crashes each backend server that runs it, resent by its caller without end,
// would take down one group after another. Each request in flight when a backend server crashes
// becomes a suspect. Its next attempt runs in isolation, on a target that all entries keep
// free. A second crash there is attributed to the request and harms no other request, and a
// complete answer clears it. The blackboard holds the crash counts by the request's
// fingerprint, so that they apply across entries and resends.

// Times of telling a crash from a cut connection.
const (
	// crashWait is how long an attempt's end waits for evidence of a crash: longer than two
	// missed announcements.
	crashWait = 2500 * time.Millisecond
	crashPoll = 50 * time.Millisecond
	// aliveAfterCut is how long after the cut a server must have announced itself to count as
	// alive. An earlier announcement may have been in flight at the crash.
	aliveAfterCut = 300 * time.Millisecond
)

// hasCrashed reports whether a backend server of the attempt's target crashed about when the
// attempt was cut. A server that closes the connection and then stays silent counts as crashed.
// A server that dies with its VM closes no connection; its attempts stall instead.
func (s *Server) hasCrashed(ctx context.Context, r route, cut time.Time) bool {
	for time.Since(cut) < crashWait && ctx.Err() == nil {
		changed, alive := s.checkMembers(r, cut.Add(aliveAfterCut))
		if changed {
			return true
		}
		if alive {
			return false
		}
		time.Sleep(crashPoll)
	}
	return ctx.Err() == nil
}

// checkMembers reports whether any member has an incarnation other than the one that the
// attempt was sent to, and whether all members have announced themselves after a time.
func (s *Server) checkMembers(r route, after time.Time) (changed, alive bool) {
	alive = true
	s.o.Announcements.WithTable(func(t *evidence.Table) {
		for id, incarnation := range r.members {
			report, ok := t.Get(id)
			if r.group == "" {
				report, ok = t.GetService(id)
			}
			changed = changed || (ok && report.Incarnation != incarnation)
			alive = alive && ok && report.ReceivedAt.After(after)
		}
	})
	return changed, alive
}

// crashID identifies the crash for all entries that saw it, by a group's epoch or an instance's
// incarnation.
func (r route) crashID() string {
	if r.group != "" {
		return r.group + "@" + formatEpoch(r.epoch)
	}
	return r.head + "@" + r.incarnation
}

// reportIfCrashed counts a crash against the job if there was one. It reports whether the crash
// is thereby attributed to the request.
func (s *Server) reportIfCrashed(j *job, r route, alone bool, cut time.Time) bool {
	ctx := j.ctx
	if j.nonIdempotent {
		ctx = context.Background()
	}
	return s.hasCrashed(ctx, r, cut) && s.reportCrash(j, r, alone).IsAttributed()
}

// noteCut logs that an attempt was cut, with what tells the request and the crash apart from
// others. isChecked states whether the entry checks if the backend server crashed.
func (s *Server) noteCut(j *job, r route, isChecked bool) {
	s.o.Metrics.AttemptCut(isChecked)
	j.lines.Info("event", "attempt_cut", "request", j.id, "fingerprint", j.contentFingerprint(),
		"server", r.head, "unit", r.crashID(), "checked", isChecked)
}

// reportCrash counts a crash against the job and returns the request's crash counts.
func (s *Server) reportCrash(j *job, r route, alone bool) blackboard.Suspect {
	ctx, cancel := context.WithTimeout(context.Background(), boardTimeout)
	defer cancel()
	err := s.commitBoard(ctx, &blackboard.ReportCrash{
		Fingerprints: []string{j.fingerprint}, Incarnation: r.crashID(), Alone: alone, NowMillis: time.Now().UnixMilli(),
	}, nil)
	s.o.Metrics.CrashReported(err == nil)
	_ = level.Warn(s.o.Logger).Log("event", "crash", "request", j.id, "fingerprint", j.fingerprint, "unit", r.crashID(), "alone", alone, "err", errText(err))
	known := s.o.Follower.Board().Suspects[j.fingerprint]
	if j.nonIdempotent {
		return known
	}
	j.suspect = true
	j.crashes++
	// This entry's board may not show yet what the entry has seen itself.
	known.Crashes = max(known.Crashes, j.crashes)
	if alone {
		known.Alone = max(known.Alone, 1)
	}
	return known
}

func countAttributed(suspects map[string]blackboard.Suspect) int {
	n := 0
	for _, suspect := range suspects {
		if suspect.IsAttributed() {
			n++
		}
	}
	return n
}

// clearSuspect removes a suspect that was answered completely while it ran in isolation.
func (s *Server) clearSuspect(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), boardTimeout)
	defer cancel()
	// If this fails, the request runs in isolation once more and is cleared then.
	if err := s.commitBoard(ctx, &blackboard.ForgetSuspect{Fingerprint: j.fingerprint}, nil); err != nil {
		j.lines.Info("event", "suspect_not_cleared", "request", j.id, "fingerprint", j.fingerprint, "err", err)
	}
}

// crashRefusal returns the final failure of a request that crashes backend servers.
func crashRefusal() *failure.Error {
	return failure.New(failure.TypeRequestCrashesBackend,
		"this request crashed the backend servers that ran it and will not be run again").WithRan(failure.RanUnknown)
}

const boardTimeout = 2 * time.Second

// commitBoard writes a board command through the leader. If verdict is not nil, it receives the
// command's result. While no process leads, which proves that nothing was written, it tries again
// until the context ends.
//
// Failure: a data centre loses power, with the leader and with backend servers. The reports of
// their crashes are refused during the election and not sent again, and a request that crashed one
// server crashes the next through another entry.
func (s *Server) commitBoard(ctx context.Context, c blackboard.Command, verdict *blackboard.Verdict) error {
	encoded, err := blackboard.Encode(c)
	if err != nil {
		return errors.Trace(err)
	}
	r := &noderpc.CommitRequest{
		ClusterId: s.o.Follower.Board().ClusterID, Machine: noderpc.Machine_MACHINE_BOARD, Command: encoded,
	}
	for tries := 1; ; tries++ {
		result, err := s.o.Control.Commit(ctx, r)
		switch {
		case err != nil && failure.From(err).Type == failure.TypeNotLeader && sleep(ctx, recordRetryDelay(tries, rand.Float64())):
			continue
		case err != nil || verdict == nil:
			return errors.Trace(err)
		}
		return errors.Trace(json.Unmarshal(result, verdict))
	}
}

func formatEpoch(epoch uint64) string { return strconv.FormatUint(epoch, 10) }

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
