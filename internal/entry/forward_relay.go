package entry

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

const (
	// eventBuffer is the read buffer of one open stream in bytes, about twenty ordinary events.
	eventBuffer = 4 << 10
	// answerChunk is how much of an answer that is not streamed is read at once, in bytes.
	answerChunk = 32 << 10
	// maxEvent is the largest event, in bytes.
	maxEvent = 1 << 20
)

// errAnswerTooLong is returned for an answer over maxServiceAnswer.
const errAnswerTooLong = errors.ConstError("the answer is over the limit")

// readComplete reads an answer to its end; one that ends early is an error. Its bytes count
// towards the memory budget until the caller has received them. While the budget is used up,
// the answer is not read.
func (j *job) readComplete(m *memoryBudget, a *backend.ForwardAnswer) ([]byte, error) {
	var body bytes.Buffer
	for {
		if err := m.reserve(j.ctx, answerChunk); err != nil {
			return nil, errors.Trace(err)
		}
		j.forward.reservedBytes += answerChunk
		n, err := io.CopyN(&body, a.Body, answerChunk)
		m.release(answerChunk - int(n))
		j.forward.reservedBytes -= answerChunk - int(n)
		switch {
		case body.Len() > maxServiceAnswer:
			return nil, errors.Trace(errAnswerTooLong)
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, errors.Trace(err)
		}
	}
}

// relayAnswer passes on an answer that is not a stream once it is complete.
func (s *Server) relayAnswer(j *job, a *backend.ForwardAnswer) (outcome, *failure.Error) {
	body, err := j.readComplete(s.memory, a)
	if err != nil {
		return s.classifyServiceError(j, err)
	}
	j.noteFirstToken()
	j.provesParts = provesAnswer(a)
	j.forward.write(&bufferedAnswer{status: a.Status, header: backend.EndToEnd(a.Header), body: body})
	return outcomeComplete, nil
}

// relayEvents passes on a stream event by event. Only complete events are passed on, in
// increasing order of their ids, so that another run can resume after the last one.
func (s *Server) relayEvents(j *job, a *forwardAttempt, result *placement.Result) (outcome, *failure.Error) {
	events := newEventReader(a.answer.Body)
	w, progress := a.w, a.grant.route.progress
	j.forward.onWait = func() func() { return waitForCaller(w, progress) }
	for {
		e, err := events.next()
		if err == io.EOF {
			j.forward.writeHead(s.memory, a.answer)
			j.provesParts = provesAnswer(a.answer) && w.hasBegun.Load()
			return outcomeComplete, nil
		}
		if err != nil {
			return s.classifyRelayError(j, a.grant, w, err)
		}
		first := !w.hasBegun.Load()
		if first {
			result.FirstToken = time.Since(a.began)
			j.noteFirstToken()
			s.recordFirstEvent(j, a.grant, result.FirstToken, a.answer.Load)
		}
		w.progress(true)
		if progress != nil {
			progress.event(time.Now(), first)
			if first {
				defer progress.ended()
			}
		}
		s.dispatcher.progress(a.grant.attempt, 1)
		err = j.relayEvent(s.memory, a.answer, e, events.isDrained())
		if errors.Is(err, errTakenOver) {
			return outcomeBroken, failure.New(failure.TypeBackendStalled, err.Error())
		}
		if err != nil {
			j.cancel(errNoCallersLeft)
			return outcomeJobEnded, nil
		}
	}
}

// waitForCaller stops counting a stream as one that should make progress while it waits for its caller to
// read. The returned function undoes that.
//
// Failure: the buffer of a slow caller is full, so that its stream is not read. It looks silent, and its group is
// reported as stalled.
func waitForCaller(w *watchdog, progress *groupProgress) (resume func()) {
	w.isPaused.Store(true)
	if progress != nil {
		progress.ended()
	}
	return func() {
		w.isPaused.Store(false)
		w.progress(true)
		if progress != nil {
			progress.event(time.Now(), true)
		}
	}
}

// writeHead writes the status and header of the stream's first run.
func (f *forwarding) writeHead(m *memoryBudget, a *backend.ForwardAnswer) {
	if f.begun.Load() {
		return
	}
	f.begun.Store(true)
	copyHeader(f.w.Header(), backend.EndToEnd(a.Header))
	f.w.WriteHeader(a.Status)
	f.out = newStreamWriter(f.w, m)
}

// relayEvent passes one event on, unless the caller has received it already.
func (j *job) relayEvent(m *memoryBudget, a *backend.ForwardAnswer, e event, flush bool) error {
	f := j.forward
	isNew, err := f.advance(e)
	if err != nil || !isNew {
		return errors.Trace(err)
	}
	f.writeHead(m, a)
	return errors.Trace(f.out.enqueue(j.ctx, e.bytes, flush, f.onWait))
}

// event is one server-sent event as received.
type event struct {
	bytes    []byte
	id       uint64
	numbered bool
}

// eventReader splits a stream into events. An event's bytes are valid until the next event is
// read.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBuffer)}
}

var idField = []byte("id:")

// next returns the next complete event. It returns io.EOF at the end of a stream that ends
// after a complete event, and backend.ErrCut if the stream ends within one.
func (r *eventReader) next() (event, error) {
	r.buf = r.buf[:0]
	e := event{}
	for {
		from := len(r.buf)
		if err := r.line(); err != nil {
			if err == io.EOF && len(r.buf) > 0 {
				return e, errors.Trace(backend.ErrCut)
			}
			return e, err
		}
		line := bytes.TrimRight(r.buf[from:], "\r\n")
		if len(line) == 0 {
			e.bytes = r.buf
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

// line appends one line, with its line end, to the buffer.
func (r *eventReader) line() error {
	for {
		part, err := r.r.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		switch {
		case err == nil:
			return nil
		case err != bufio.ErrBufferFull:
			return err
		case len(r.buf) > maxEvent:
			return errors.Trace(backend.ErrLineTooLong)
		}
	}
}

// isDrained reports whether nothing more has arrived, so that the bytes written so far should
// be flushed now.
func (r *eventReader) isDrained() bool { return r.r.Buffered() == 0 }
