// Package wire codes the exchange of evidence between two entries.
//
// A Session is one side of one connection. It makes the frames to send and
// reads those received; it has no I/O and no clock. Frames are protobuf messages
// behind a varint with their length. A connection delivers all frames in order
// or ends, so a line leaves out what the last line of the same backend server on
// this connection said, and names the backend server by a number that its first
// line gave it. A Session is not safe for concurrent use.
package wire

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// MaxFrame bounds a frame in bytes: splitBytes and one line more. A line is at
	// most three times the 64 KiB of an announcement, as decoding may replace a
	// byte that is no UTF-8 by three.
	MaxFrame = 320 << 10
	// splitBytes is the size from which on further lines go to another frame.
	splitBytes = 64 << 10
	// maxOutstanding bounds the frames sent and not yet echoed whose times are
	// kept. A whole table is 38 frames at the most usual 300 bytes a line; a peer
	// that echoes nothing for longer has a silent connection.
	maxOutstanding = 4096
)

// Fields of a frame.
const (
	frameNumber = protowire.Number(iota + 1)
	frameEcho
	frameHeld
	frameLine
)

// Session is one side of one connection.
type Session struct {
	encoder *lineEncoder
	decoder lineDecoder
	// sent is the number of the last frame sent, and times when those after
	// base were made.
	sent, base uint64
	sentTimes  []time.Time
	lastEcho   uint64
	// received is the number of the last frame received, at receivedAt.
	received   uint64
	receivedAt time.Time
}

// NewSession returns a session whose dictionaries are empty.
func NewSession() *Session { return &Session{encoder: newLineEncoder()} }

// CanDate tells whether the peer could date lines sent now: a frame of the peer
// must have arrived to be echoed.
func (s *Session) CanDate() bool { return s.received > 0 }

// Frames returns the bytes of one frame or more with these lines, made now.
func (s *Session) Frames(now time.Time, lines []evidence.Heard) ([]byte, error) {
	var out []byte
	for {
		body, err := s.beginFrame(now)
		if err != nil {
			return nil, errors.Trace(err)
		}
		for len(lines) > 0 && len(body) < splitBytes {
			line, err := s.encoder.encode(lines[0])
			if err != nil {
				return nil, errors.Trace(err)
			}
			body, lines = putBytes(body, frameLine, line), lines[1:]
		}
		if len(body) > MaxFrame {
			return nil, errors.Trace(ErrTooLarge)
		}
		out = protowire.AppendBytes(out, body)
		if len(lines) == 0 {
			return out, nil
		}
	}
}

// head numbers the next frame, remembers when it was made, and begins it.
func (s *Session) beginFrame(now time.Time) ([]byte, error) {
	if len(s.sentTimes) >= maxOutstanding {
		return nil, errors.Annotate(ErrEcho, "no echo")
	}
	s.sent++
	s.sentTimes = append(s.sentTimes, now)
	b := putUint(nil, frameNumber, s.sent)
	if s.received == 0 {
		return b, nil
	}
	b = putUint(b, frameEcho, s.received)
	if held := now.Sub(s.receivedAt).Milliseconds(); held > 0 {
		b = putUint(b, frameHeld, uint64(held))
	}
	return b, nil
}

// Received is what a frame says.
type Received struct {
	// Made is a time, by the receiver's clock, at which the peer had surely not
	// made the frame yet; zero when the peer had received nothing.
	Made  time.Time
	Lines []evidence.Heard
}

type frame struct {
	number, echo, held uint64
	lines              [][]byte
}

// Receive reads the body of one frame that arrived now.
//
// Failure: a frame is held up on its way for seconds and its lines look fresh
// on arrival. The peer made it after it had got the frame that it echoes, and
// held that one for as long as it says; so the time of sending that frame plus
// the time held is never after the making, however long either way took.
func (s *Session) Receive(now time.Time, body []byte) (Received, error) {
	var f frame
	if err := eachField(body, frameLine, f.read); err != nil {
		return Received{}, errors.Trace(err)
	}
	if f.number != s.received+1 {
		return Received{}, errors.Annotatef(ErrMalformed, "frame %d after %d", f.number, s.received)
	}
	made, err := s.earliestMade(now, f.echo, f.held)
	if err != nil {
		return Received{}, errors.Trace(err)
	}
	if made.IsZero() && len(f.lines) > 0 {
		return Received{}, errors.Annotate(ErrMalformed, "lines without an echo")
	}
	out := Received{Made: made}
	for _, b := range f.lines {
		h, err := s.decoder.decode(b)
		if err != nil {
			return Received{}, errors.Trace(err)
		}
		out.Lines = append(out.Lines, h)
	}
	s.received, s.receivedAt = f.number, now
	return out, nil
}

func (f *frame) read(v field) error {
	switch v.number {
	case frameNumber:
		return v.asUint(&f.number)
	case frameEcho:
		return v.asUint(&f.echo)
	case frameHeld:
		return v.asUint(&f.held)
	case frameLine:
		var body []byte
		err := v.asMessage(&body)
		f.lines = append(f.lines, body)
		return err
	}
	return v.malformed()
}

// date returns the earliest time at which the peer can have made a frame with
// this echo, held for so many milliseconds.
func (s *Session) earliestMade(now time.Time, echo, held uint64) (time.Time, error) {
	if echo == 0 && s.lastEcho == 0 {
		return time.Time{}, nil
	}
	if echo < s.lastEcho || echo > s.sent || held > maxAgeMillis {
		return time.Time{}, errors.Annotatef(ErrEcho, "%d of %d", echo, s.sent)
	}
	s.sentTimes = s.sentTimes[echo-1-s.base:]
	s.base, s.lastEcho = echo-1, echo
	made := s.sentTimes[0].Add(time.Duration(held) * time.Millisecond)
	if made.After(now) {
		// The peer's clock runs faster than this one.
		made = now
	}
	return made, nil
}
