// Package logsink writes log lines without blocking the goroutines that log.
//
// When the reader of the log stops reading, its pipe fills and the next write blocks. Without a
// queue, the request or decision that logs would block too, and the VM would look dead. A Sink
// puts lines into a bounded queue, which one goroutine writes out. Lines that exceed the bound
// are dropped and counted, and a line reports the count once writing is possible again.
package logsink

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

const (
	// maxQueuedLines and maxQueuedBytes bound the queue. It holds a few seconds of an entry's
	// lines under full load, in a small part of the memory of the smallest VM.
	maxQueuedLines = 8192
	maxQueuedBytes = 2 << 20
)

// Sink is an io.Writer that accepts one complete line per Write. It is safe for concurrent use.
type Sink struct {
	out         io.Writer
	lines       chan []byte
	queuedBytes atomic.Int64
	dropped     atomic.Uint64
	// stop asks the writing goroutine to end; done is closed when it has ended.
	stop, done chan struct{}
	closeOnce  sync.Once
}

// New returns a Sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues or drops one line. It never blocks and never returns an error, because a logger
// could not handle either.
func (s *Sink) Write(line []byte) (int, error) {
	if s.queuedBytes.Add(int64(len(line))) > maxQueuedBytes {
		s.drop(line)
		return len(line), nil
	}
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.drop(line)
	}
	return len(line), nil
}

func (s *Sink) drop(line []byte) {
	s.queuedBytes.Add(-int64(len(line)))
	s.dropped.Add(1)
}

// Dropped returns the number of dropped lines that no line has reported yet.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		case <-s.stop:
			s.drain()
			return
		}
	}
}

// drain writes the lines that are still queued at Close.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		default:
			return
		}
	}
}

func (s *Sink) writeLine(line []byte) {
	s.queuedBytes.Add(-int64(len(line)))
	if n := s.dropped.Swap(0); n > 0 {
		line = append([]byte("level=warn event=log_lines_dropped lines="+strconv.FormatUint(n, 10)+"\n"), line...)
	}
	// A failed write is ignored: there is no other place to report it.
	_, _ = s.out.Write(line)
}

// Close writes the queued lines, as long as the writer accepts them, and ends the Sink. Lines
// written after Close are lost.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	<-s.done
}
