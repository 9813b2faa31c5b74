package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
)

const (
	// suspectWriteInterval is the least time between two writes of one entry about suspects. What
	// comes up in between goes into one write, which bounds the writes when many backend servers
	// crash while hundreds of requests run on them.
	suspectWriteInterval = 100 * time.Millisecond
	// suspectRetryInterval is the least time between two writes while none succeeds. Up to as much is
	// added at random: once there is a leader again, most entries find on the board what others
	// have written.
	suspectRetryInterval = 500 * time.Millisecond
	// suspectWriteLifetime is how long a write is tried again, and how long an entry that can't write goes
	// by what it has seen itself.
	suspectWriteLifetime = 10 * time.Minute
	// unseenTime is how long what was written counts at least beside the board, which may not show it
	// yet.
	unseenTime = 2 * time.Second
	// maxSuspectWrites bounds the commands that wait to be written, maxLocalAnswers the answers that are not.
	maxSuspectWrites = 1024
	maxLocalAnswers  = 256
)

// suspectWriter writes what this entry learns of suspects to the board, one write at a time. Until the
// board shows it, this entry goes by it already.
//
// Failure: an entry that is cut off from the leader sees one request crash one backend server after the
// other, and goes on sending it, as the board shows no crash.
type suspectWriter struct {
	mu sync.Mutex
	// pending holds the commands that are not written yet, and isWriting is set while a
	// goroutine writes. written holds the crashes that were written in the last unseenTime.
	pending, written []*suspectWrite
	isWriting        bool
	// isFailing is set while the last write has failed. local holds the answers to requests with parts that came
	// meanwhile: only this entry goes by them, until it can write again.
	isFailing bool
	local     []blackboard.SuspectChange
	// forgotAt is when written was last gone through.
	forgotAt time.Time
	// table is the board's table from, changed by what is pending and written; nil if that has
	// changed since.
	from, table map[string]blackboard.Suspect
}

type suspectWrite struct {
	// change is the command as of since.
	change           blackboard.SuspectChange
	since, writtenAt time.Time
	// isForwarded is set once peers have been sent the command.
	isForwarded bool
	// done is closed once the command is written or given up.
	done chan struct{}
}

// command returns the command as it is to be sent now.
func (w *suspectWrite) command(now time.Time) blackboard.Command {
	switch change := w.change.(type) {
	case *blackboard.ReportCrash:
		return change.After(now.Sub(w.since), now)
	case *blackboard.ClearSuspect:
		return change.After(now.Sub(w.since), now)
	}
	return w.change
}

// isShown reports whether the board shows the change already, as another entry has written it.
func (w *suspectWrite) isShown(board map[string]blackboard.Suspect) bool {
	report, ok := w.change.(*blackboard.ReportCrash)
	return ok && report.IsIn(board)
}

// suspects returns the board's table of suspects with what this entry knows beside it. The result is not
// changed.
func (s *Server) suspects() map[string]blackboard.Suspect {
	return s.suspectWriter.changed(time.Now(), s.o.Follower.Board().Suspects)
}

func (q *suspectWriter) changed(now time.Time, board map[string]blackboard.Suspect) map[string]blackboard.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forgetSeen(now)
	if len(q.pending)+len(q.written)+len(q.local) == 0 {
		return board
	}
	if q.table == nil || !blackboard.IsSameTable(q.from, board) {
		var changes []blackboard.SuspectChange
		for _, w := range q.written {
			changes = append(changes, w.change)
		}
		for _, w := range q.pending {
			changes = append(changes, w.change)
		}
		changes = append(changes, q.local...)
		q.from, q.table = board, blackboard.ChangeSuspects(board, changes)
	}
	return q.table
}

// addToTable takes a new change into the table. The caller holds the lock.
func (q *suspectWriter) addToTable(change blackboard.SuspectChange) {
	if q.table != nil && !change.IsIn(q.table) {
		q.table = blackboard.ChangeSuspects(q.table, []blackboard.SuspectChange{change})
	}
}

// observe counts a crash that is to be written later.
func (q *suspectWriter) observe(now time.Time, report *blackboard.ReportCrash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.written = append(q.written, &suspectWrite{change: report, writtenAt: now})
	q.addToTable(report)
}

// forgetSeen forgets what the board has shown by now, at most once in unseenTime, as the table is then made
// anew. The caller holds the lock.
func (q *suspectWriter) forgetSeen(now time.Time) {
	if len(q.written) == 0 || now.Sub(q.forgotAt) < unseenTime {
		return
	}
	q.forgotAt = now
	before := len(q.written)
	q.written = slices.DeleteFunc(q.written, func(w *suspectWrite) bool { return now.Sub(w.writtenAt) > unseenTime })
	if len(q.written) < before {
		q.table = nil
	}
}

// writeSuspect writes a change of the suspects in the background. It returns a channel that is
// closed once the command is written or given up.
func (s *Server) writeSuspect(change blackboard.SuspectChange) <-chan struct{} {
	w := &suspectWrite{change: change, since: time.Now(), done: make(chan struct{})}
	q := &s.suspectWriter
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) >= maxSuspectWrites {
		close(w.done)
		s.logSuspectWriteLost(1, "too many wait")
		return w.done
	}
	if q.isFailing && isPartAnswer(change) {
		q.addLocal(change)
		close(w.done)
		return w.done
	}
	q.pending = append(q.pending, w)
	q.addToTable(w.change)
	if !q.isWriting {
		q.isWriting = true
		go s.writeSuspects()
	}
	return w.done
}

func isPartAnswer(change blackboard.SuspectChange) bool {
	answer, ok := change.(*blackboard.ClearSuspect)
	return ok && answer.SentAgoMillis > 0
}

// addLocal takes in an answer that is not written. The caller holds the lock.
func (q *suspectWriter) addLocal(change blackboard.SuspectChange) {
	q.local = append(q.local, change)
	if len(q.local) > maxLocalAnswers {
		q.local = q.local[1:]
	}
	q.addToTable(change)
}

// failed takes in that a write has failed. The answers to requests with parts are not tried again.
//
// Failure: half of the entries reach the leader again and write all answers of the time in between at once. The
// leader applies thousands of commands that say nothing by now, and loses its lead.
func (q *suspectWriter) failed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isFailing = true
	q.pending = slices.DeleteFunc(q.pending, func(w *suspectWrite) bool {
		if !isPartAnswer(w.change) {
			return false
		}
		q.addLocal(w.change)
		close(w.done)
		return true
	})
}

// writeSuspects writes until no command is left.
func (s *Server) writeSuspects() {
	for {
		batch := s.suspectWriter.next(s.o.Follower.Board().Suspects)
		if len(batch) == 0 {
			return
		}
		began, interval := time.Now(), suspectWriteInterval
		if !s.writeSuspectBatch(batch) {
			interval = suspectRetryInterval + rand.N(suspectRetryInterval)
		}
		time.Sleep(interval - time.Since(began))
	}
}

// next returns the commands that are to be written, without those that the board shows. Without any,
// the writing ends.
func (q *suspectWriter) next(board map[string]blackboard.Suspect) []*suspectWrite {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = slices.DeleteFunc(q.pending, func(w *suspectWrite) bool {
		if !w.isShown(board) {
			return false
		}
		close(w.done)
		return true
	})
	q.isWriting = len(q.pending) > 0
	return slices.Clone(q.pending)
}

// writeSuspectBatch writes the first pending commands together and reports whether that succeeded. If
// it failed, those that are too old are given up. Each command changes nothing if it is written twice.
func (s *Server) writeSuspectBatch(batch []*suspectWrite) bool {
	ctx, cancel := context.WithTimeout(context.Background(), boardTimeout)
	defer cancel()
	forward := time.AfterFunc(forwardAfter, s.forwardCrashes)
	defer forward.Stop()
	err := s.commitBoardLatest(ctx, func() (blackboard.Command, error) {
		commands := make([]blackboard.Command, len(batch))
		for i, w := range batch {
			commands[i] = w.command(time.Now())
		}
		return blackboard.NewBatch(commands)
	}, nil)
	waited := time.Since(batch[0].since).Milliseconds()
	if err != nil {
		_ = level.Warn(s.o.Logger).Log("event", "suspects_not_written", "commands", len(batch), "waited_ms", waited, "err", err)
		s.suspectWriter.failed()
		s.giveUpOldSuspectWrites(err)
		s.forwardCrashes()
		return false
	}
	_ = level.Info(s.o.Logger).Log("event", "suspects_written", "commands", len(batch), "waited_ms", waited)
	for range batch {
		s.o.Metrics.SuspectWrite(true)
	}
	s.suspectWriter.wrote(time.Now(), len(batch))
	return true
}

// wrote takes in that the first n pending commands are written.
func (q *suspectWriter) wrote(now time.Time, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.pending[:n] {
		w.writtenAt = now
		// A crash counts once; an answer would count again beside the board's.
		if _, ok := w.change.(*blackboard.ReportCrash); ok {
			q.written = append(q.written, w)
		}
		close(w.done)
	}
	q.pending, q.table = q.pending[n:], nil
	q.isFailing, q.local = false, nil
}

func (s *Server) giveUpOldSuspectWrites(err error) {
	q := &s.suspectWriter
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.pending) > 0 && time.Since(q.pending[0].since) >= suspectWriteLifetime {
		close(q.pending[0].done)
		q.pending, q.table = q.pending[1:], nil
		s.logSuspectWriteLost(1, err.Error())
	}
}

func (s *Server) logSuspectWriteLost(n int, reason string) {
	s.o.Metrics.SuspectWrite(false)
	_ = level.Warn(s.o.Logger).Log("event", "suspect_write_lost", "commands", n, "reason", reason)
}
