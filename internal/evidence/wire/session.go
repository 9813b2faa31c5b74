// Package wire encodes and decodes the exchange of evidence between two entries.
//
// A Session is one side of one connection. It encodes the frames to send and decodes
// the frames received; it has no I/O and no clock. A frame is a protobuf message,
// prefixed with its length as a varint. A connection delivers all frames in order or
// ends. A line therefore omits values that equal those of the last line of the same
// backend server on this connection. It refers to the backend server by a number that
// the first line assigned. A Session is not safe for concurrent use.
package wire

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// MaxFrame bounds a frame in bytes: splitBytes plus one more line. A line is at
	// most three times the 64 KiB of an announcement, because JSON decoding may
	// replace each byte that is not valid UTF-8 by three.
	MaxFrame = 320 << 10
	// splitBytes is the frame size from which on further lines go into another frame.
	splitBytes = 64 << 10
	// maxOutstanding bounds the sent frames that await an echo and whose send times
	// are kept. A complete table takes 38 frames at the most usual 300 bytes a line.
	// A peer that leaves more frames without an echo has a silent connection.
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
	// sent is the number of the last frame sent. sentTimes holds the times at which
	// the frames after number base were made.
	sent, base uint64
	sentTimes  []time.Time
	lastEcho   uint64
	// received is the number of the last frame received, at receivedAt.
	received   uint64
	receivedAt time.Time
}

// NewSession returns a session whose dictionaries are empty.
func NewSession() *Session { return &Session{encoder: newLineEncoder()} }

// HasReceived reports whether the peer could date lines that are sent now. This requires
// an echo, so at least one frame of the peer must have arrived.
func (s *Session) HasReceived() bool { return s.received > 0 }

// Frames returns the bytes of one or more frames that carry these lines and are made
// at now.
func (s *Session) Frames(now time.Time, lines []evidence.DigestLine) ([]byte, error) {
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

// beginFrame assigns the next frame number, records when the frame is made, and
// returns the fields before its lines.
func (s *Session) beginFrame(now time.Time) ([]byte, error) {
	if len(s.sentTimes) >= maxOutstanding {
		return nil, errors.Annotate(ErrEcho, "too many frames without an echo")
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

// Received is the content of a frame.
type Received struct {
	// Made is a lower bound, by the receiver's clock, for the time at which the peer
	// made the frame. It is zero if the peer had received no frame yet.
	Made  time.Time
	Lines []evidence.DigestLine
}

type frame struct {
	number, echo, held uint64
	lines              [][]byte
}

// Receive decodes the body of one frame that arrived at now.
//
// Failure: a frame is delayed on the network for seconds, and its lines appear fresh on
// arrival. The peer made the frame after it had received the frame that it echoes, and
// states for how long it had held that one. The send time of the echoed frame plus the
// time held is therefore never later than the making of the new frame, however long
// either transmission took.
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

// earliestMade returns the earliest time at which the peer can have made a frame that
// echoes frame number echo, which the peer has held for held milliseconds.
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
		// The peer's clock runs faster than the local clock.
		made = now
	}
	return made, nil
}
