package entry

import (
	"context"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// streamBufferBytes is the most that is buffered of one stream for a caller that reads slowly.
// It exceeds the complete answer of most requests.
const streamBufferBytes = 64 << 10

// streamWriter writes a stream to its caller and buffers what the caller has not read yet.
//
// It keeps reading the backend server's answer while a caller reads nothing for some seconds.
// Otherwise the backend server would have to buffer the rest, and would cut the stream off in
// the end.
type streamWriter struct {
	w      http.ResponseWriter
	memory *memoryBudget
	// dataReady wakes the writer, spaceFree wakes a goroutine that waits to add more. done is
	// closed when the writer has ended.
	dataReady, spaceFree chan struct{}
	done                 chan struct{}

	mu      sync.Mutex
	pending []byte
	// writingBytes is the size of the batch that is being written.
	writingBytes int
	flush        bool
	ended        bool
	err          error
}

// newStreamWriter returns a stream writer that has started. The header must have been written.
func newStreamWriter(w http.ResponseWriter, m *memoryBudget) *streamWriter {
	o := &streamWriter{w: w, memory: m, dataReady: make(chan struct{}, 1), spaceFree: make(chan struct{}, 1), done: make(chan struct{})}
	go o.run()
	return o
}

// enqueue adds bytes to the stream and waits while the buffer is full. flush asks for them to
// be sent without delay. onWait, if it is not nil, is called before the first wait, and its result after the last.
func (o *streamWriter) enqueue(ctx context.Context, p []byte, flush bool, onWait func() (resume func())) error {
	hasWaited := false
	for {
		taken, err := o.tryEnqueue(p, flush)
		if taken || err != nil {
			return err
		}
		if !hasWaited && onWait != nil {
			hasWaited = true
			defer onWait()()
		}
		select {
		case <-o.spaceFree:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// tryEnqueue adds the bytes if there is capacity. An empty buffer accepts any number of bytes.
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

// run writes the buffered bytes until the stream has ended.
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

// takePending returns the buffered bytes and makes spare the new buffer.
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

// releaseWritten releases the memory of a batch that has been written.
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

// close ends the stream and waits until all bytes are written. It returns the error of a failed
// write.
func (o *streamWriter) close() error {
	o.mu.Lock()
	o.ended = true
	o.mu.Unlock()
	wake(o.dataReady)
	<-o.done
	return o.err
}

// wake signals a channel that has a buffer of one.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
