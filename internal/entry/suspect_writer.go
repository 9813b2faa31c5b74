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
	// suspectWriteLifetime is how long a write is tried again. Callers have given up by then.
	suspectWriteLifetime = 30 * time.Second
	// maxSuspectWrites bounds the commands that wait to be written.
	maxSuspectWrites = 1024
)

// suspectWriter writes what this entry learns of suspects to the board, one write at a time.
type suspectWriter struct {
	mu sync.Mutex
	// pending holds the commands that are not written yet, and isWriting is set while a
	// goroutine writes.
	pending   []suspectWrite
	isWriting bool
}

type suspectWrite struct {
	// command returns the command as it is at a time.
	command func(now time.Time) blackboard.Command
	since   time.Time
	// done is closed once the command is written or given up.
	done chan struct{}
}

// writeSuspect writes a command about suspects in the background. It returns a channel that is
// closed once the command is written or given up.
func (s *Server) writeSuspect(command func(now time.Time) blackboard.Command) <-chan struct{} {
	w := suspectWrite{command: command, since: time.Now(), done: make(chan struct{})}
	q := &s.suspectWriter
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) >= maxSuspectWrites {
		close(w.done)
		s.logSuspectWriteLost(1, "too many wait")
		return w.done
	}
	q.pending = append(q.pending, w)
	if !q.isWriting {
		q.isWriting = true
		go s.writeSuspects()
	}
	return w.done
}

// writeSuspects writes until no command is left.
func (s *Server) writeSuspects() {
	q := &s.suspectWriter
	for {
		q.mu.Lock()
		batch := q.pending
		q.pending = nil
		q.isWriting = len(batch) > 0
		q.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		began := time.Now()
		s.writeSuspectBatch(batch)
		time.Sleep(suspectWriteInterval - time.Since(began))
	}
}

// writeSuspectBatch writes commands together. If the write fails, those that are not too old are
// written with the next batch. Each command changes nothing if it is written twice.
func (s *Server) writeSuspectBatch(batch []suspectWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), boardTimeout)
	defer cancel()
	err := s.commitBoardLatest(ctx, func() (blackboard.Command, error) {
		commands := make([]blackboard.Command, len(batch))
		for i, w := range batch {
			commands[i] = w.command(time.Now())
		}
		return blackboard.NewBatch(commands)
	}, nil)
	if err == nil {
		for _, w := range batch {
			s.o.Metrics.SuspectWrite(true)
			close(w.done)
		}
		_ = level.Info(s.o.Logger).Log("event", "suspects_written", "commands", len(batch), "waited_ms", time.Since(batch[0].since).Milliseconds())
		return
	}
	_ = level.Warn(s.o.Logger).Log("event", "suspects_not_written", "commands", len(batch), "waited_ms", time.Since(batch[0].since).Milliseconds(), "err", err)
	s.retrySuspectWrites(batch, err)
}

func (s *Server) retrySuspectWrites(batch []suspectWrite, err error) {
	var again []suspectWrite
	for _, w := range batch {
		if time.Since(w.since) < suspectWriteLifetime {
			again = append(again, w)
			continue
		}
		close(w.done)
		s.logSuspectWriteLost(1, err.Error())
	}
	s.suspectWriter.mu.Lock()
	defer s.suspectWriter.mu.Unlock()
	s.suspectWriter.pending = append(again, s.suspectWriter.pending...)
}

func (s *Server) logSuspectWriteLost(n int, reason string) {
	s.o.Metrics.SuspectWrite(false)
	_ = level.Warn(s.o.Logger).Log("event", "suspect_write_lost", "commands", n, "reason", reason)
}
