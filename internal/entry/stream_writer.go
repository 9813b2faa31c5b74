package entry

import (
	"context"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// outboxLimit bounds what is held of one stream for a caller that reads slowly, in bytes:
// more than the whole answer of most requests.
const streamBufferBytes = 64 << 10

// outbox writes a stream to its caller and holds what the caller has not read yet.
//
// Failure: a caller reads nothing for some seconds. Were its stream not read here meanwhile,
// the backend server would hold the rest, and cut it off in the end.
type streamWriter struct {
	w      http.ResponseWriter
	memory *memoryBudget
	// waiting wakes the writer, room whoever waits to put more in; done closes when the
	// writer has ended.
	dataReady, spaceFree chan struct{}
	done                 chan struct{}

	mu      sync.Mutex
	pending []byte
	// writing is how many bytes are being written.
	writingBytes int
	flush        bool
	ended        bool
	err          error
}

// newOutbox returns an outbox whose writer runs. The header must have been written.
func newStreamWriter(w http.ResponseWriter, m *memoryBudget) *streamWriter {
	o := &streamWriter{w: w, memory: m, dataReady: make(chan struct{}, 1), spaceFree: make(chan struct{}, 1), done: make(chan struct{})}
	go o.run()
	return o
}

// put adds bytes to what the caller gets, and waits while too many are held. flush says that
// they should leave now.
func (o *streamWriter) enqueue(ctx context.Context, p []byte, flush bool) error {
	for {
		taken, err := o.tryEnqueue(p, flush)
		if taken || err != nil {
			return err
		}
		select {
		case <-o.spaceFree:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// tryPut adds the bytes if there is room: an empty outbox takes any.
func (o *streamWriter) tryEnqueue(p []byte, flush bool) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return false, o.err
	}
	buffered := len(o.pending) + o.writingBytes
	switch {
	case buffered == 0:
		o.memory.forceReserve(len(p))
	case buffered+len(p) > streamBufferBytes || !o.memory.tryReserve(len(p)):
		return false, nil
	}
	o.pending = append(o.pending, p...)
	o.flush = o.flush || flush
	wake(o.dataReady)
	return true, nil
}

// write writes what is held until the outbox has ended.
func (o *streamWriter) run() {
	defer close(o.done)
	var spare []byte
	for range o.dataReady {
		batch, flush, ended := o.takePending(spare)
		o.writeBatch(batch, flush)
		o.releaseWritten(len(batch))
		if ended {
			return
		}
		spare = batch[:0]
	}
}

// next takes out what is held, and leaves spare in its place.
func (o *streamWriter) takePending(spare []byte) (batch []byte, flush, ended bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch, flush, ended = o.pending, o.flush, o.ended
	o.pending, o.flush, o.writingBytes = spare, false, len(batch)
	return batch, flush, ended
}

func (o *streamWriter) writeBatch(batch []byte, flush bool) {
	if len(batch) == 0 || o.hasFailed() {
		return
	}
	_, err := o.w.Write(batch)
	if err == nil && flush {
		err = http.NewResponseController(o.w).Flush()
	}
	if err != nil {
		o.mu.Lock()
		o.err = errors.Trace(err)
		o.mu.Unlock()
	}
}

// wrote notes that a batch is no longer held.
func (o *streamWriter) releaseWritten(n int) {
	o.mu.Lock()
	o.writingBytes = 0
	o.mu.Unlock()
	o.memory.release(n)
	wake(o.spaceFree)
}

func (o *streamWriter) hasFailed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err != nil
}

// close waits until all is written, and returns why it could not be.
func (o *streamWriter) close() error {
	o.mu.Lock()
	o.ended = true
	o.mu.Unlock()
	wake(o.dataReady)
	<-o.done
	return o.err
}

// wake signals a channel of one place.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
