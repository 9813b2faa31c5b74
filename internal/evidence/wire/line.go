package wire

import (
	"slices"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/evidence"
)

// MaxRefs bounds the backend servers that one connection numbers. It equals the
// capacity of an evidence.Table, so a complete table always fits a new connection.
const MaxRefs = 8192

// Fields of a line. Kind and id appear only in the first line of a backend server. The
// sequence is omitted if it is the next one, the age if it is zero, and any other field
// if it equals that of the last line of the same backend server.
const (
	lineRef = protowire.Number(iota + 1)
	lineSequence
	lineAge
	lineKind
	lineID
	lineIncarnation
	lineGroup
	lineEpoch
	linePhase
	lineLeaving
	lineUnreachable
	lineLoad
	lineNoLoad
	lineDetail
	lineStarted
	lineCold
)

// defaultStep is the increment of the sequence that is omitted.
const defaultStep = 1

// kindsByNumber lists the kinds of backend servers by their number on the wire.
var kindsByNumber = []backend.Kind{backend.KindEngine, backend.KindService}

type serverKey struct {
	kind backend.Kind
	id   string
}

// lineEncoder encodes the lines of one connection.
type lineEncoder struct {
	refs map[serverKey]uint64
	last []evidence.DigestLine
}

func newLineEncoder() *lineEncoder { return &lineEncoder{refs: make(map[serverKey]uint64)} }

// encode returns the bytes of one line.
func (e *lineEncoder) encode(h evidence.DigestLine) ([]byte, error) {
	ref, known := e.refs[serverKey{h.Kind, h.ID}]
	if !known {
		if len(e.last) >= MaxRefs {
			return nil, errors.Trace(ErrDictionaryFull)
		}
		e.last = append(e.last, evidence.DigestLine{})
		ref = uint64(len(e.last))
		e.refs[serverKey{h.Kind, h.ID}] = ref
	}
	last := &e.last[ref-1]
	if last.Incarnation != h.Incarnation {
		last.Sequence = 0
	}
	b := putUint(nil, lineRef, ref)
	if step := h.Sequence - last.Sequence; step != defaultStep {
		b = putUint(b, lineSequence, step)
	}
	if h.AgeMillis > 0 {
		b = putUint(b, lineAge, uint64(h.AgeMillis))
	}
	if !known {
		b = putUint(b, lineKind, uint64(slices.Index(kindsByNumber, h.Kind)))
		b = putString(b, lineID, h.ID)
	}
	b = putChanges(b, last, h)
	*last = h
	return b, nil
}

func putChanges(b []byte, last *evidence.DigestLine, h evidence.DigestLine) []byte {
	if last.Incarnation != h.Incarnation {
		b = putString(b, lineIncarnation, h.Incarnation)
	}
	if last.Group != h.Group {
		b = putString(b, lineGroup, h.Group)
	}
	if last.Epoch != h.Epoch {
		b = putUint(b, lineEpoch, h.Epoch)
	}
	if last.Phase != h.Phase {
		b = putString(b, linePhase, string(h.Phase))
	}
	if last.Leaving != h.Leaving {
		b = putUint(b, lineLeaving, protowire.EncodeBool(h.Leaving))
	}
	if !slices.Equal(last.Unreachable, h.Unreachable) {
		b = putBytes(b, lineUnreachable, putList(nil, h.Unreachable))
	}
	switch {
	case h.Load == nil && last.Load != nil:
		b = putUint(b, lineNoLoad, 1)
	case h.Load != nil && (last.Load == nil || *last.Load != *h.Load):
		b = putBytes(b, lineLoad, putLoad(nil, last.Load, h.Load))
	}
	if h.Detail != nil {
		b = putBytes(b, lineDetail, putDetail(nil, h.Detail))
	}
	if last.StartedMillis != h.StartedMillis {
		b = putUint(b, lineStarted, uint64(h.StartedMillis))
	}
	if last.ColdMillis != h.ColdMillis {
		b = putUint(b, lineCold, uint64(h.ColdMillis))
	}
	return b
}

// lineDecoder decodes the lines of one connection.
type lineDecoder struct{ last []evidence.DigestLine }

// lineHead holds the fields that decode needs before the others: those that identify
// the backend server, and the values relative to its last line or to the frame.
type lineHead struct {
	ref, kind, sequence, age uint64
	id                       string
	hasID                    bool
}

// decode decodes one line. Omitted fields have the values of the last line of the same
// backend server.
func (d *lineDecoder) decode(b []byte) (evidence.DigestLine, error) {
	head := lineHead{sequence: defaultStep}
	h, err := d.resolve(b, &head)
	if err != nil {
		return h, errors.Trace(err)
	}
	before := h.Incarnation
	if err := eachField(b, 0, func(v field) error { return readChange(v, &h) }); err != nil {
		return h, errors.Trace(err)
	}
	if h.Incarnation == "" {
		return h, errors.Annotate(ErrMalformed, "no incarnation")
	}
	if h.Incarnation != before {
		h.Sequence = 0
	}
	h.Sequence += head.sequence
	h.AgeMillis = int64(head.age)
	d.last[head.ref-1] = h
	d.last[head.ref-1].Detail = nil
	return h, nil
}

// maxAgeMillis bounds the age of a line so that no sum of times overflows. It is far
// above the hour for which a table keeps a record.
const maxAgeMillis = 1 << 40

// resolve returns the last line of the backend server that a line refers to. It adds a
// backend server that is new to the connection.
func (d *lineDecoder) resolve(b []byte, head *lineHead) (evidence.DigestLine, error) {
	if err := eachField(b, 0, func(v field) error { return readHead(v, head) }); err != nil {
		return evidence.DigestLine{}, errors.Trace(err)
	}
	known := uint64(len(d.last))
	switch {
	case head.age > maxAgeMillis:
		return evidence.DigestLine{}, errors.Annotate(ErrMalformed, "age")
	case head.ref >= 1 && head.ref <= known && !head.hasID:
		return d.last[head.ref-1], nil
	case head.ref != known+1 || !head.hasID || head.id == "" || head.kind >= uint64(len(kindsByNumber)):
		return evidence.DigestLine{}, errors.Annotatef(ErrMalformed, "number %d", head.ref)
	case known >= MaxRefs:
		return evidence.DigestLine{}, errors.Trace(ErrDictionaryFull)
	}
	h := evidence.DigestLine{Kind: kindsByNumber[head.kind], ID: head.id}
	d.last = append(d.last, h)
	return h, nil
}

func readHead(v field, head *lineHead) error {
	switch v.number {
	case lineRef:
		return v.asUint(&head.ref)
	case lineSequence:
		return v.asUint(&head.sequence)
	case lineAge:
		return v.asUint(&head.age)
	case lineKind:
		return v.asUint(&head.kind)
	case lineID:
		head.hasID = true
		return v.asString(&head.id)
	}
	return nil
}

func readChange(v field, h *evidence.DigestLine) error {
	switch v.number {
	case lineRef, lineSequence, lineAge, lineKind, lineID:
		return nil
	case lineIncarnation:
		return v.asString(&h.Incarnation)
	case lineStarted:
		started := uint64(0)
		err := v.asUint(&started)
		h.StartedMillis = int64(started)
		return err
	case lineCold:
		cold := uint64(0)
		err := v.asUint(&cold)
		h.ColdMillis = int64(min(cold, maxAgeMillis))
		return err
	case lineGroup:
		return v.asString(&h.Group)
	case lineEpoch:
		return v.asUint(&h.Epoch)
	case linePhase:
		phase := ""
		err := v.asString(&phase)
		h.Phase = backend.Phase(phase)
		return err
	case lineLeaving:
		leaving := uint64(0)
		err := v.asUint(&leaving)
		h.Leaving = protowire.DecodeBool(leaving)
		return err
	case lineNoLoad:
		h.Load = nil
		return nil
	}
	return readNested(v, h)
}

func readNested(v field, h *evidence.DigestLine) error {
	var body []byte
	if err := v.asMessage(&body); err != nil {
		return err
	}
	var err error
	switch v.number {
	case lineUnreachable:
		h.Unreachable, err = readList(body)
	case lineLoad:
		h.Load, err = readLoad(body, h.Load)
	case lineDetail:
		h.Detail, err = readDetail(body)
	default:
		return v.malformed()
	}
	return errors.Trace(err)
}
