package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// A request that crashes each backend server that runs it, sent again by its
// caller without end, would take down one group after another. Each request
// that was in flight when a backend server crashed is a suspect: its next
// attempt runs alone on a target that all entries keep free, so a second crash
// convicts it and hurts nobody else, and an innocent one is cleared by its
// answer. The counts are on the blackboard, by the fingerprint of what was
// asked, so that they hold across entries and resends.

// Times of telling a crash from a cut connection.
const (
	// crashWait is how long evidence is awaited: longer than two missed
	// announcements.
	crashWait = 2500 * time.Millisecond
	crashPoll = 50 * time.Millisecond
	// sureAlive is how long after the cut a server must have announced itself
	// to count as alive: an announcement may have been under way at the crash.
	aliveAfterCut = 300 * time.Millisecond
)

// crashed tells whether a backend server of the attempt's target crashed about
// when the attempt was cut. A server that is silent after it closed the
// connection has crashed too; one that died with its VM closes nothing, and its
// attempts stall instead.
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

// lookAt tells whether any member has another incarnation than the attempt was
// sent to, and whether all were heard after a time.
func (s *Server) checkMembers(r route, after time.Time) (changed, alive bool) {
	alive = true
	s.o.Hearing.With(func(t *evidence.Table) {
		for id, incarnation := range r.members {
			report, ok := t.Get(id)
			if r.group == "" {
				report, ok = t.GetService(id)
			}
			changed = changed || (ok && report.Incarnation != incarnation)
			alive = alive && ok && report.HeardAt.After(after)
		}
	})
	return changed, alive
}

// unit names what crashed, once for all entries that saw it: a group's epoch
// or an instance's incarnation.
func (r route) crashID() string {
	if r.group != "" {
		return r.group + "@" + formatEpoch(r.epoch)
	}
	return r.head + "@" + r.incarnation
}

// blameIfCrashed counts a crash against the job if there was one, and tells
// whether that convicts it.
func (s *Server) reportIfCrashed(j *job, r route, alone bool, cut time.Time) bool {
	ctx := j.ctx
	if j.nonIdempotent {
		ctx = context.Background()
	}
	return s.hasCrashed(ctx, r, cut) && s.reportCrash(j, r, alone).Convicted()
}

// blame counts a crash against the job and returns what is known of it then.
func (s *Server) reportCrash(j *job, r route, alone bool) blackboard.Suspect {
	ctx, cancel := context.WithTimeout(context.Background(), boardTimeout)
	defer cancel()
	err := s.commitBoard(ctx, &blackboard.ReportCrash{
		Fingerprints: []string{j.fingerprint}, Incarnation: r.crashID(), Alone: alone, NowMillis: time.Now().UnixMilli(),
	}, nil)
	_ = level.Warn(s.o.Logger).Log("event", "crash", "request", j.id, "fingerprint", j.fingerprint, "unit", r.crashID(), "alone", alone, "err", errText(err))
	known := s.o.Follower.Board().Suspects[j.fingerprint]
	if j.nonIdempotent {
		return known
	}
	j.suspect = true
	j.crashes++
	// This entry's copy may be behind what it has seen itself.
	known.Crashes = max(known.Crashes, j.crashes)
	if alone {
		known.Alone = max(known.Alone, 1)
	}
	return known
}

// clear forgets a suspect that was answered whole while it ran alone.
func (s *Server) clearSuspect(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), boardTimeout)
	defer cancel()
	// If this fails the request runs alone once more, and is cleared then.
	_ = s.commitBoard(ctx, &blackboard.ForgetSuspect{Fingerprint: j.fingerprint}, nil)
}

// convicted is the final answer to a request that crashes backend servers.
func crashRefusal() *failure.Error {
	return failure.New(failure.TypePoisoned,
		"this request crashed the backend servers that ran it; it is not run again").WithRan(failure.RanUnknown)
}

const boardTimeout = 2 * time.Second

// commitBoard writes a command of the board through the leader.
func (s *Server) commitBoard(ctx context.Context, c blackboard.Command, verdict *blackboard.Verdict) error {
	encoded, err := blackboard.Encode(c)
	if err != nil {
		return errors.Trace(err)
	}
	result, err := s.o.Control.Commit(ctx, &noderpc.CommitRequest{
		ClusterId: s.o.Follower.Board().ClusterID, Machine: noderpc.Machine_MACHINE_BOARD, Command: encoded,
	})
	if err != nil || verdict == nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.Unmarshal(result, verdict))
}

func formatEpoch(epoch uint64) string { return strconv.FormatUint(epoch, 10) }

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
