// Package poll tells when this process has looked at what the operating system had ready for it.
package poll

import (
	"os"
	"sync"

	"github.com/juju/errors"
)

// Fence is a pipe of this process to itself. What is written to it takes the same way as the data of callers and
// backend servers: through the runtime's poller and its queue.
type Fence struct {
	reader, writer *os.File
	received       sync.WaitGroup

	mu sync.Mutex
	// waiting holds a channel for each byte in the pipe, in order.
	waiting  []chan struct{}
	isClosed bool
}

// NewFence returns a fence. The caller must close it.
func NewFence() (*Fence, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	f := &Fence{reader: r, writer: w}
	f.received.Go(f.receive)
	return f, nil
}

// Passed returns a channel that is closed once goroutines that wait for data which are ready now have been woken, in
// their order. A closed fence, and one whose pipe is full, is passed at once.
func (f *Fence) Passed() <-chan struct{} {
	passed := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosed || len(f.waiting) >= maxWaiting {
		close(passed)
		return passed
	}
	if _, err := f.writer.Write([]byte{0}); err != nil {
		close(passed)
		return passed
	}
	f.waiting = append(f.waiting, passed)
	return passed
}

// maxWaiting keeps writes from waiting: a pipe takes a page of memory at least.
const maxWaiting = 4096

func (f *Fence) receive() {
	data := make([]byte, maxWaiting)
	for {
		n, err := f.reader.Read(data)
		f.mu.Lock()
		for _, passed := range f.waiting[:min(n, len(f.waiting))] {
			close(passed)
		}
		f.waiting = f.waiting[min(n, len(f.waiting)):]
		f.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Close passes the fence for all that wait and releases the pipe.
func (f *Fence) Close() {
	f.mu.Lock()
	f.isClosed = true
	for _, passed := range f.waiting {
		close(passed)
	}
	f.waiting = nil
	f.mu.Unlock()
	_ = f.writer.Close()
	_ = f.reader.Close()
	f.received.Wait()
}
