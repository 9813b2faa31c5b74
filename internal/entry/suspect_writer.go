package entry

import (
	"context"
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
	// suspectRetryInterval is the least time between two writes while none succeeds.
	suspectRetryInterval = 500 * time.Millisecond
	// suspectWriteLifetime is how long a write is tried again, and how long an entry that can't write goes
	// by what it has seen itself.
	suspectWriteLifetime = 10 * time.Minute
	// unseenTime is how long what was written counts beside the board, which may not show it yet.
	unseenTime = 2 * time.Second
	// maxSuspectWrites bounds the commands that wait to be written.
	maxSuspectWrites = 1024
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
	pending, written []suspectWrite
	isWriting        bool
	// table is the board's table from, changed by what is pending and written; nil if that has
	// changed since.
	from, table map[string]blackboard.Suspect
}

type suspectWrite struct {
	// change is what the command changes, by the clock of this entry.
	change blackboard.SuspectChange
	// command returns the command as it is to be sent at a time.
	command          func(now time.Time) blackboard.Command
	since, writtenAt time.Time
	// done is closed once the command is written or given up.
	done chan struct{}
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
	if len(q.pending)+len(q.written) == 0 {
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
		q.from, q.table = board, blackboard.ChangeSuspects(board, changes)
	}
	return q.table
}

// forgetSeen forgets what the board has shown by now. The caller holds the lock.
func (q *suspectWriter) forgetSeen(now time.Time) {
	for len(q.written) > 0 && now.Sub(q.written[0].writtenAt) > unseenTime {
		q.written, q.table = q.written[1:], nil
	}
}

// writeSuspect writes a change of the suspects in the background. It returns a channel that is
// closed once the command is written or given up.
func (s *Server) writeSuspect(change blackboard.SuspectChange, command func(now time.Time) blackboard.Command) <-chan struct{} {
	w := suspectWrite{change: change, command: command, since: time.Now(), done: make(chan struct{})}
	q := &s.suspectWriter
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) >= maxSuspectWrites {
		close(w.done)
		s.logSuspectWriteLost(1, "too many wait")
		return w.done
	}
	q.pending, q.table = append(q.pending, w), nil
	if !q.isWriting {
		q.isWriting = true
		go s.writeSuspects()
	}
	return w.done
}

// writeSuspects writes until no command is left.
func (s *Server) writeSuspects() {
	for {
		batch := s.suspectWriter.next()
		if len(batch) == 0 {
			return
		}
		began, interval := time.Now(), suspectWriteInterval
		if !s.writeSuspectBatch(batch) {
			interval = suspectRetryInterval
		}
		time.Sleep(interval - time.Since(began))
	}
}

// next returns the commands that are to be written. Without any, the writing ends.
func (q *suspectWriter) next() []suspectWrite {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isWriting = len(q.pending) > 0
	return q.pending[:len(q.pending):len(q.pending)]
}

// writeSuspectBatch writes the first pending commands together and reports whether that succeeded. If
// it failed, those that are too old are given up. Each command changes nothing if it is written twice.
func (s *Server) writeSuspectBatch(batch []suspectWrite) bool {
	ctx, cancel := context.WithTimeout(context.Background(), boardTimeout)
	defer cancel()
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
		s.giveUpOldSuspectWrites(err)
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
