// Package logsink writes log lines without ever making their writers wait.
//
// Failure: whatever reads the log stops reading. The pipe fills, the next line
// blocks, and with it the request or the decision that wrote it; the VM looks
// dead though only its log is. A Sink takes lines into a bounded queue that one
// goroutine writes; lines that find no room are dropped, counted, and told of
// by a line of their own once there is room again.
package logsink

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

const (
	// maxLines and maxBytes bound what waits: some seconds of an entry's lines
	// under full load, in a part of the memory of the smallest VM.
	maxLines = 8192
	maxBytes = 2 << 20
)

// Sink is an io.Writer of whole lines. It is safe for concurrent use.
type Sink struct {
	to      io.Writer
	lines   chan []byte
	waiting atomic.Int64
	dropped atomic.Uint64
	// quit asks the writing goroutine to end, done tells that it has.
	quit, done chan struct{}
	once       sync.Once
}

// New returns a Sink that writes to the writer until Close.
func New(to io.Writer) *Sink {
	s := &Sink{to: to, lines: make(chan []byte, maxLines), quit: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line. It never waits and never fails: a logger can do nothing
// about either.
func (s *Sink) Write(line []byte) (int, error) {
	if s.waiting.Add(int64(len(line))) > maxBytes {
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
	s.waiting.Add(-int64(len(line)))
	s.dropped.Add(1)
}

// Dropped returns how many lines found no room and were not told of yet.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-s.quit:
			s.putWaiting()
			return
		}
	}
}

// putWaiting writes the lines that wait at the end.
func (s *Sink) putWaiting() {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			return
		}
	}
}

func (s *Sink) put(line []byte) {
	s.waiting.Add(-int64(len(line)))
	if n := s.dropped.Swap(0); n > 0 {
		line = append([]byte("level=warn event=log_lines_dropped lines="+strconv.FormatUint(n, 10)+"\n"), line...)
	}
	// There is nowhere to tell that the log can't be written.
	_, _ = s.to.Write(line)
}

// Close writes what waits, as long as the writer takes it, and ends the Sink.
// Lines written after it are lost.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.quit) })
	<-s.done
}
