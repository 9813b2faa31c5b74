package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// streamBuffer is the size in bytes of the read buffer of one open stream. A
	// token event is about 100 bytes. Longer lines are collected in longLine.
	streamBuffer = 1 << 10
	// drainTimeout bounds the wait for the last chunk after the end mark. After it
	// the connection is closed, not returned to the pool.
	drainTimeout = 250 * time.Millisecond
	// drainBytes bounds the bytes that may follow the end mark.
	drainBytes = 4 << 10
	// maxQuietBytes bounds the bytes of keep-alives and other lines between two events. Keep-alives at a usual
	// pace, each second for hours, are far fewer.
	maxQuietBytes = 256 << 10
)

var dataPrefix = []byte("data:")

// sseStream reads the events of one generation. Each event is one "data:"
// line; a line that begins with a colon is a keep-alive.
type sseStream struct {
	exchange *httpExchange
	reader   *bufio.Reader
	maxLine  int
	longLine []byte
	// quietBytes is how many bytes without an event have been read since the last event.
	quietBytes int
	// ended and closed are atomic so that Close and Next may be called from
	// different goroutines.
	ended  atomic.Bool
	closed atomic.Bool
}

func newSSEStream(x *httpExchange, maxLine int) *sseStream {
	return &sseStream{
		exchange: x,
		reader:   bufio.NewReaderSize(x.response.Body, streamBuffer),
		maxLine:  maxLine,
	}
}

// Notice returns the notice in the response header. See TokenStream.
func (s *sseStream) Notice() Notice { return noticeOf(s.exchange.response) }

// Next returns the next event. See TokenStream.
func (s *sseStream) Next() (Token, error) {
	if s.ended.Load() {
		return Token{}, io.EOF
	}
	for {
		line, err := s.readLine()
		if err != nil {
			return Token{}, err
		}
		if bytes.HasPrefix(line, dataPrefix) {
			s.quietBytes = 0
			return s.decodeEvent(line[len(dataPrefix):])
		}
		if err := s.countQuiet(line); err != nil {
			return Token{}, err
		}
		if len(line) > 0 && line[0] == ':' {
			return Token{KeepAlive: true}, nil
		}
	}
}

// countQuiet counts a line without an event. It returns ErrLineTooLong past maxQuietBytes.
//
// Failure: an engine sends lines without an event as fast as it can, and its caller waits to the deadline.
func (s *sseStream) countQuiet(line []byte) error {
	s.quietBytes += len(line) + 1
	if s.quietBytes > maxQuietBytes {
		return errors.Trace(ErrLineTooLong)
	}
	return nil
}

func (s *sseStream) decodeEvent(data []byte) (Token, error) {
	var t Token
	if err := json.Unmarshal(data, &t); err != nil {
		return Token{}, errors.Annotate(ErrMalformed, err.Error())
	}
	s.ended.Store(t.End)
	return t, nil
}

// readLine returns the next line without its line ending.
//
// Failure: an engine sends an endless line that takes all memory. The stream fails
// after maxLine bytes instead.
func (s *sseStream) readLine() ([]byte, error) {
	s.longLine = s.longLine[:0]
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(s.longLine)+len(part) > s.maxLine {
			return nil, errors.Trace(ErrLineTooLong)
		}
		if err == nil && len(s.longLine) == 0 {
			return trimEnd(part), nil
		}
		s.longLine = append(s.longLine, part...)
		if err == nil {
			return trimEnd(s.longLine), nil
		}
		if err != bufio.ErrBufferFull {
			return nil, s.exchange.readError(err)
		}
	}
}

func trimEnd(line []byte) []byte { return bytes.TrimRight(line, "\r\n") }

// Close ends the stream. After the end mark the connection is reused if the engine ends
// its answer within drainTimeout; otherwise it is closed.
func (s *sseStream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	if s.ended.Load() {
		go s.drain()
		return nil
	}
	s.exchange.cancel(nil)
	return errors.Trace(s.exchange.response.Body.Close())
}

func (s *sseStream) drain() {
	stop := startTimer(drainTimeout, func() { s.exchange.cancel(nil) })
	defer stop()
	_, _ = io.CopyN(io.Discard, s.reader, drainBytes)
	_ = s.exchange.response.Body.Close()
	s.exchange.cancel(nil)
}
