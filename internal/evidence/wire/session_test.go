package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/evidence"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// bodies splits data into frames and removes their length prefixes.
func bodies(t *testing.T, data []byte) [][]byte {
	t.Helper()
	var list [][]byte
	for len(data) > 0 {
		body, n := protowire.ConsumeBytes(data)
		assert.Assert(t, n > 0)
		list, data = append(list, body), data[n:]
	}
	return list
}

// send makes frames at the time sent and receives them at the time arrived.
func send(t *testing.T, from, to *Session, sent, arrived time.Time, lines ...evidence.DigestLine) Received {
	t.Helper()
	data, err := from.Frames(sent, lines)
	assert.NilError(t, err)
	var all Received
	for _, body := range bodies(t, data) {
		got, err := to.Receive(arrived, body)
		assert.NilError(t, err)
		all.Made = got.Made
		all.Lines = append(all.Lines, got.Lines...)
	}
	return all
}

func line(id string, sequence uint64) evidence.DigestLine {
	return evidence.DigestLine{
		Kind: backend.KindEngine, ID: id, Incarnation: "x", StartedMillis: 1767225600123, Sequence: sequence, Group: "demo-0", Epoch: 7,
		Phase: backend.PhaseReady, AgeMillis: 250, Load: &backend.Load{Running: 2, TokensPerSecond: 0.5, AgeMillis: -1},
	}
}

// Failure: requests are routed to a dead member because the frame that reports it alive
// was delayed for ten seconds. Dated by its echo, the frame has its true age.
func TestDelayedFrameIsOld(t *testing.T) {
	a, b := NewSession(), NewSession()
	send(t, b, a, at(0), at(40))
	got := send(t, a, b, at(140), at(10_000), line("vm", 1))
	assert.Equal(t, got.Made, at(100), "sent at 0 and held for 100 ms")
	assert.Equal(t, len(got.Lines), 1)
}

// One direction is lost: a keeps sending and receives nothing, so it echoes the same
// frame repeatedly. The time held must still give its frames their true age.
func TestRepeatedEchoIsDatedByTheTimeHeld(t *testing.T) {
	a, b := NewSession(), NewSession()
	send(t, b, a, at(0), at(40))
	for ms := 100; ms < 2000; ms += 300 {
		_, err := b.Frames(at(ms), nil)
		assert.NilError(t, err)
		got := send(t, a, b, at(ms), at(ms+30), line("vm", 1))
		assert.Equal(t, got.Made, at(ms-40))
	}
	fast := send(t, a, b, at(9000), at(5000))
	assert.Equal(t, fast.Made, at(5000), "never later than the arrival")
}

// A heartbeat without changes must take only a few bytes.
func TestUnchangedLineIsShort(t *testing.T) {
	e := newLineEncoder()
	for n := range 200 {
		_, err := e.encode(line(fmt.Sprint("vm-", n), 1))
		assert.NilError(t, err)
	}
	short, err := e.encode(line("vm-199", 2))
	assert.NilError(t, err)
	inFrame := len(putBytes(nil, frameLine, short))
	assert.Assert(t, inFrame >= 6 && inFrame <= 12, "%d bytes", inFrame)
}

// A new session must not depend on values sent over an earlier connection.
func TestNewSessionSendsCompleteLines(t *testing.T) {
	for range 2 {
		a, b := NewSession(), NewSession()
		send(t, b, a, at(0), at(0))
		want := line("vm", 3)
		got := send(t, a, b, at(10), at(10), want)
		assert.DeepEqual(t, got.Lines, []evidence.DigestLine{want})
		want.Sequence, want.Load, want.Unreachable = 4, nil, []string{"vm-2"}
		got = send(t, a, b, at(20), at(20), want)
		assert.DeepEqual(t, got.Lines, []evidence.DigestLine{want})
	}
}

// A complete table must be split into frames that the other side accepts.
func TestCompleteTableIsSplitIntoFrames(t *testing.T) {
	a, b := NewSession(), NewSession()
	send(t, b, a, at(0), at(0))
	var lines []evidence.DigestLine
	for n := range MaxRefs {
		h := line(fmt.Sprint("vm-", n), 1)
		h.Detail = &evidence.Detail{Address: "10.0.0.1:1", Weights: []string{"demo"}}
		lines = append(lines, h)
	}
	got := send(t, a, b, at(0), at(0), lines...)
	assert.DeepEqual(t, got.Lines, lines)
	_, err := a.Frames(at(0), []evidence.DigestLine{line("one more", 1)})
	assert.Assert(t, errors.Is(err, ErrDictionaryFull))
}

// Invalid bytes of a faulty or unrelated process must end the connection. They must
// neither crash the process nor alter its evidence.
func TestMalformedFramesAreRefused(t *testing.T) {
	echoed := putUint(putUint(nil, frameNumber, 1), frameEcho, 1)
	withLine := func(b []byte) []byte { return putBytes(bytes.Clone(echoed), frameLine, b) }
	named := putString(putUint(putUint(nil, lineRef, 1), lineKind, 0), lineID, "vm")
	full := putString(bytes.Clone(named), lineIncarnation, "x")
	for _, c := range []struct {
		name string
		body []byte
		want errors.ConstError
	}{
		{"empty", nil, ErrMalformed},
		{"cut short", []byte{0x08}, ErrMalformed},
		{"no tag", []byte{0xff}, ErrMalformed},
		{"a frame number skipped", putUint(nil, frameNumber, 2), ErrMalformed},
		{"a field twice", putUint(putUint(nil, frameNumber, 1), frameNumber, 1), ErrMalformed},
		{"an unknown field", putUint(bytes.Clone(echoed), 9, 1), ErrMalformed},
		{"a wrong type", putString(nil, frameNumber, "1"), ErrMalformed},
		{"an echo of a frame that was not sent", putUint(putUint(nil, frameNumber, 1), frameEcho, 2), ErrEcho},
		{"a time held that overflows", putUint(bytes.Clone(echoed), frameHeld, 1<<62), ErrEcho},
		{"lines without an echo", putBytes(putUint(nil, frameNumber, 1), frameLine, full), ErrMalformed},
		{"a server number without an id", withLine(putUint(nil, lineRef, 1)), ErrMalformed},
		{"a server number skipped", withLine(putString(putUint(putUint(nil, lineRef, 2), lineKind, 0), lineID, "vm")), ErrMalformed},
		{"an unknown kind", withLine(putString(putUint(putUint(nil, lineRef, 1), lineKind, 2), lineID, "vm")), ErrMalformed},
		{"no incarnation", withLine(named), ErrMalformed},
		{"an age that overflows", withLine(putUint(putUint(nil, lineRef, 1), lineAge, 1<<62)), ErrMalformed},
		{"text that is no UTF-8", withLine(putString(bytes.Clone(named), lineIncarnation, "\xff")), ErrMalformed},
		{"an unknown field of a load", withLine(putBytes(bytes.Clone(full), lineLoad, putUint(nil, 9, 1))), ErrMalformed},
		{"an unknown field of a line", withLine(putBytes(bytes.Clone(full), 20, nil)), ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewSession()
			_, err := s.Frames(at(0), nil)
			assert.NilError(t, err)
			_, err = s.Receive(at(1), c.body)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
		})
	}
	s := NewSession()
	_, _ = s.Frames(at(0), nil)
	_, err := s.Receive(at(1), withLine(full))
	assert.NilError(t, err)
}

func TestRandomBytesNeverPanic(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := NewSession()
		_, _ = s.Frames(at(0), nil)
		body := putUint(putUint(nil, frameNumber, 1), frameEcho, 1)
		junk := make([]byte, r.IntN(40))
		for i := range junk {
			junk[i] = byte(r.IntN(64))
		}
		_, _ = s.Receive(at(1), append(body, junk...))
		_, _ = s.Receive(at(1), putBytes(body, frameLine, junk))
	}
}

// pair is two tables that exchange digests over sessions, and a third table that
// merges the same digests directly, dated by the time at which they were made.
type pair struct {
	t                    *testing.T
	r                    *rand.Rand
	now                  int
	sender               *evidence.Table
	viaWire              *evidence.Table
	direct               *evidence.Table
	a, b                 *Session
	cursor, directCursor evidence.Cursor
	sequences            map[string]uint64
}

func (p *pair) connect() {
	p.a, p.b, p.cursor = NewSession(), NewSession(), evidence.Cursor{}
	send(p.t, p.b, p.a, at(p.now), at(p.now+p.r.IntN(50)))
	p.now += 50
}

func (p *pair) announce() {
	id, incarnation := fmt.Sprint("vm-", p.r.IntN(5)), fmt.Sprint(p.now/4000)
	p.sequences[id+incarnation] += uint64(1 + p.r.IntN(3))
	a := backend.Announcement{
		ID: id, Kind: kindsByNumber[p.r.IntN(2)], Incarnation: incarnation, Sequence: p.sequences[id+incarnation],
		Group: fmt.Sprint("g-", p.r.IntN(2)), Epoch: uint64(p.r.IntN(3)), Phase: backend.PhaseReady,
		Leaving: p.r.IntN(4) == 0, Address: fmt.Sprint("10.0.0.", p.r.IntN(3)), Weights: []string{"w"},
	}
	if p.r.IntN(2) == 0 {
		a.Load = &backend.Load{Running: p.r.IntN(2), TokensPerSecond: float64(p.r.IntN(2))}
	}
	if p.r.IntN(3) == 0 {
		a.Unreachable = []string{"vm-9"}
	}
	p.sender.Record(at(p.now), "a", a)
}

// exchange sends one frame each way. A lost frame ends the connection.
func (p *pair) exchange() {
	made := at(p.now)
	lines, next := p.sender.Digest(made, p.cursor)
	directLines, nextDirect := p.sender.Digest(made, p.directCursor)
	p.cursor = next
	if p.r.IntN(6) == 0 {
		_, err := p.a.Frames(made, lines)
		assert.NilError(p.t, err)
		p.connect()
		return
	}
	p.now += p.r.IntN(400)
	got := send(p.t, p.a, p.b, made, at(p.now), lines...)
	assert.Assert(p.t, !got.Made.After(made), "dated later than made")
	p.viaWire.Merge(got.Made, "a", got.Lines)
	p.directCursor = nextDirect
	p.direct.Merge(made, "a", directLines)
	send(p.t, p.b, p.a, at(p.now), at(p.now+p.r.IntN(100)))
	p.now += 100
}

// The compact exchange must give an entry the same evidence as complete digests, and
// never with a later time, despite lost frames and new connections.
func TestRandomExchangesEqualCompleteDigests(t *testing.T) {
	for seed := range uint64(200) {
		p := &pair{
			t: t, r: rand.New(rand.NewPCG(seed, 7)), sender: evidence.NewTable("a", 1),
			viaWire: evidence.NewTable("b", 1), direct: evidence.NewTable("b", 1), sequences: map[string]uint64{},
		}
		p.connect()
		for range 60 {
			for range p.r.IntN(4) {
				p.now += p.r.IntN(100)
				p.announce()
			}
			p.exchange()
			p.compare(seed)
		}
	}
}

func (p *pair) compare(seed uint64) {
	p.t.Helper()
	want, got := p.direct.Reports(), p.viaWire.Reports()
	assert.Equal(p.t, len(got), len(want), "seed %d", seed)
	for i, w := range want {
		g := got[i]
		assert.Assert(p.t, !g.ReceivedAt.After(w.ReceivedAt), "seed %d: %s is fresher", seed, g.ID)
		assert.DeepEqual(p.t, g.LatestDetail, w.LatestDetail)
		w.AgeMillis, g.AgeMillis, w.Detail, g.Detail = 0, 0, nil, nil
		assert.DeepEqual(p.t, g.DigestLine, w.DigestLine)
	}
	assert.Equal(p.t, p.viaWire.RecentPeerCount(at(p.now), time.Hour), p.direct.RecentPeerCount(at(p.now), time.Hour))
}

func TestLengthPrefixIsAVarint(t *testing.T) {
	data, err := NewSession().Frames(at(0), nil)
	assert.NilError(t, err)
	size, n := binary.Uvarint(data)
	assert.Equal(t, int(size), len(data)-n)
}
