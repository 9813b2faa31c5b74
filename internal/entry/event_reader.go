package entry

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/httphead"
)

const (
	// eventBuffer is the read buffer of one open stream in bytes, about twenty ordinary events.
	eventBuffer = 4 << 10
	// maxEvent is the largest event, in bytes.
	maxEvent = 1 << 20
	// maxComments is the most bytes of comments and empty lines between two events. Comments at a usual pace, each
	// second for hours, are far fewer.
	maxComments = 256 << 10
	// usualEvent is the length, in bytes, up to which the buffer of an event is not counted. Usual events are a
	// hundredth of it.
	usualEvent = 16 << 10
)

// errEventMemory is returned for an event that has no room beside those of other streams.
const errEventMemory = errors.ConstError("the memory of this entry for events is used up")

// event is one server-sent event as received, or comments and empty lines alone.
type event struct {
	bytes    []byte
	id       uint64
	numbered bool
	// hasFields is unset for comments and empty lines alone.
	hasFields bool
}

// eventReader splits a stream into events. An event's bytes are valid until the next event is
// read.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
	// memory counts a buffer of more than usualEvent, and reserved is its size, in bytes; 0 for a smaller one.
	memory   *memoryBudget
	reserved int
	// comments is how many bytes without an event have been read since the last event.
	comments int
}

// newEventReader returns a reader whose long events count as large answers do. release must be called at its end.
func newEventReader(r io.Reader, m *memoryBudget) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBuffer), memory: m}
}

// release drops a long event and gives its memory back.
func (r *eventReader) release() {
	if r.reserved > 0 {
		r.memory.releaseLarge(r.reserved)
		r.buf, r.reserved = nil, 0
	}
}

var idField = []byte("id:")

// next returns the next complete event. It returns io.EOF at the end of a stream that ends
// after a complete event, httphead.ErrTrailer if an invalid trailer follows there, backend.ErrCut if the stream ends
// within an event, backend.ErrLineTooLong past maxEvent or maxComments, and errEventMemory.
func (r *eventReader) next() (event, error) {
	r.release()
	r.buf = r.buf[:0]
	e := event{}
	for {
		from := len(r.buf)
		if err := r.line(); err != nil {
			if (err == io.EOF || errors.Is(err, httphead.ErrTrailer)) && len(r.buf) > 0 {
				return e, errors.Trace(backend.ErrCut)
			}
			return e, err
		}
		line := bytes.TrimRight(r.buf[from:], "\r\n")
		e.hasFields = e.hasFields || isField(line)
		if !e.hasFields && r.comments+len(r.buf) > maxComments {
			return e, errors.Trace(backend.ErrLineTooLong)
		}
		if len(line) == 0 {
			e.bytes = r.buf
			r.countComments(e)
			return e, nil
		}
		if bytes.HasPrefix(line, idField) {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(line[len(idField):])), 10, 64)
			if err != nil {
				return e, errors.Annotate(backend.ErrMalformed, err.Error())
			}
			e.id, e.numbered = id, true
		}
	}
}

// isField reports whether a line is a field of an event: neither empty nor a comment.
func isField(line []byte) bool { return len(line) > 0 && line[0] != ':' }

func (r *eventReader) countComments(e event) {
	if e.hasFields {
		r.comments = 0
		return
	}
	r.comments += len(e.bytes)
}

// line appends one line, with its line end, to the buffer.
func (r *eventReader) line() error {
	for {
		part, err := r.r.ReadSlice('\n')
		if len(r.buf)+len(part) > maxEvent {
			return errors.Trace(backend.ErrLineTooLong)
		}
		if growErr := r.grow(len(r.buf) + len(part)); growErr != nil {
			return growErr
		}
		r.buf = append(r.buf, part...)
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// grow makes room for an event of a length.
//
// Load: many streams at once get an event that does not end. Harm: each is within maxEvent, all are held until their
// deadlines, and the process runs out of memory.
func (r *eventReader) grow(length int) error {
	if length <= cap(r.buf) {
		return nil
	}
	size := min(max(length, 2*cap(r.buf)), maxEvent)
	if length <= usualEvent {
		size = min(size, usualEvent)
	}
	if size > usualEvent {
		if !r.memory.tryReserveLarge(size - r.reserved) {
			return errors.Trace(errEventMemory)
		}
		r.reserved = size
	}
	grown := make([]byte, len(r.buf), size)
	copy(grown, r.buf)
	r.buf = grown
	return nil
}

// isDrained reports whether nothing more has arrived, so that the bytes written so far should
// be flushed now.
func (r *eventReader) isDrained() bool { return r.r.Buffered() == 0 }
