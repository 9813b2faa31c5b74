package entry

import (
	"context"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// outboxLimit bounds what is held of one stream for a caller that reads slowly, in bytes:
// more than the whole answer of most requests.
const outboxLimit = 64 << 10

// outbox writes a stream to its caller and holds what the caller has not read yet.
//
// Failure: a caller reads nothing for some seconds. Were its stream not read here meanwhile,
// the backend server would hold the rest, and cut it off in the end.
type outbox struct {
	w      http.ResponseWriter
	memory *memory
	// waiting wakes the writer, room whoever waits to put more in; done closes when the
	// writer has ended.
	waiting, room chan struct{}
	done          chan struct{}

	mu   sync.Mutex
	held []byte
	// writing is how many bytes are being written.
	writing int
	flush   bool
	ended   bool
	err     error
}

// newOutbox returns an outbox whose writer runs. The header must have been written.
func newOutbox(w http.ResponseWriter, m *memory) *outbox {
	o := &outbox{w: w, memory: m, waiting: make(chan struct{}, 1), room: make(chan struct{}, 1), done: make(chan struct{})}
	go o.write()
	return o
}

// put adds bytes to what the caller gets, and waits while too many are held. flush says that
// they should leave now.
func (o *outbox) put(ctx context.Context, p []byte, flush bool) error {
	for {
		taken, err := o.tryPut(p, flush)
		if taken || err != nil {
			return err
		}
		select {
		case <-o.room:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// tryPut adds the bytes if there is room: an empty outbox takes any.
func (o *outbox) tryPut(p []byte, flush bool) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return false, o.err
	}
	held := len(o.held) + o.writing
	switch {
	case held == 0:
		o.memory.force(len(p))
	case held+len(p) > outboxLimit || !o.memory.take(len(p)):
		return false, nil
	}
	o.held = append(o.held, p...)
	o.flush = o.flush || flush
	wake(o.waiting)
	return true, nil
}

// write writes what is held until the outbox has ended.
func (o *outbox) write() {
	defer close(o.done)
	var spare []byte
	for range o.waiting {
		batch, flush, ended := o.next(spare)
		o.writeBatch(batch, flush)
		o.wrote(len(batch))
		if ended {
			return
		}
		spare = batch[:0]
	}
}

// next takes out what is held, and leaves spare in its place.
func (o *outbox) next(spare []byte) (batch []byte, flush, ended bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch, flush, ended = o.held, o.flush, o.ended
	o.held, o.flush, o.writing = spare, false, len(batch)
	return batch, flush, ended
}

func (o *outbox) writeBatch(batch []byte, flush bool) {
	if len(batch) == 0 || o.failed() {
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
func (o *outbox) wrote(n int) {
	o.mu.Lock()
	o.writing = 0
	o.mu.Unlock()
	o.memory.give(n)
	wake(o.room)
}

func (o *outbox) failed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err != nil
}

// close waits until all is written, and returns why it could not be.
func (o *outbox) close() error {
	o.mu.Lock()
	o.ended = true
	o.mu.Unlock()
	wake(o.waiting)
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
