package wire

import (
	"math"
	"unicode/utf8"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// Errors of encoding and decoding. Each ends the connection: a line omits values of
// earlier lines, so no frame can be decoded after one that was not.
const (
	// ErrMalformed is returned for bytes that do not form a frame of this protocol.
	ErrMalformed = errors.ConstError("malformed frame")
	// ErrTooLarge is returned for a frame of more than MaxFrame bytes.
	ErrTooLarge = errors.ConstError("frame too large")
	// ErrDictionaryFull is returned for a new backend server on a connection that has
	// already numbered MaxRefs of them. A new connection starts with an empty
	// dictionary.
	ErrDictionaryFull = errors.ConstError("dictionary full")
	// ErrEcho is returned for an echo of a frame that was not sent or that is older
	// than the last one echoed, and when maxOutstanding frames await an echo.
	ErrEcho = errors.ConstError("invalid frame echo")
)

// field is one decoded protobuf field: uint for a varint or a fixed64, bytes otherwise.
type field struct {
	number protowire.Number
	kind   protowire.Type
	uint   uint64
	bytes  []byte
}

// eachField calls f with each field of a message. Field numbers must ascend, and only
// the field repeated may occur more than once; 0 permits no repeated field.
func eachField(b []byte, repeated protowire.Number, f func(field) error) error {
	last := protowire.Number(0)
	for len(b) > 0 {
		v, size, err := nextField(b)
		if err != nil {
			return errors.Trace(err)
		}
		if v.number < last || (v.number == last && v.number != repeated) {
			return errors.Annotatef(ErrMalformed, "field %d out of order", v.number)
		}
		last = v.number
		if err := f(v); err != nil {
			return errors.Trace(err)
		}
		b = b[size:]
	}
	return nil
}

func nextField(b []byte) (field, int, error) {
	number, kind, head := protowire.ConsumeTag(b)
	if head < 0 {
		return field{}, 0, errors.Annotate(ErrMalformed, "tag")
	}
	v, size := field{number: number, kind: kind}, 0
	switch kind {
	case protowire.VarintType:
		v.uint, size = protowire.ConsumeVarint(b[head:])
	case protowire.Fixed64Type:
		v.uint, size = protowire.ConsumeFixed64(b[head:])
	case protowire.BytesType:
		v.bytes, size = protowire.ConsumeBytes(b[head:])
	default:
		return field{}, 0, errors.Annotatef(ErrMalformed, "wire type %d", kind)
	}
	if size < 0 {
		return field{}, 0, errors.Annotatef(ErrMalformed, "field %d", number)
	}
	return v, head + size, nil
}

func (v field) asUint(into *uint64) error {
	if v.kind != protowire.VarintType {
		return v.malformed()
	}
	*into = v.uint
	return nil
}

func (v field) asInt(into *int) error {
	if v.kind != protowire.VarintType {
		return v.malformed()
	}
	*into = int(protowire.DecodeZigZag(v.uint))
	return nil
}

func (v field) asFloat(into *float64) error {
	if v.kind != protowire.Fixed64Type {
		return v.malformed()
	}
	*into = math.Float64frombits(v.uint)
	return nil
}

func (v field) asString(into *string) error {
	if v.kind != protowire.BytesType || !utf8.Valid(v.bytes) {
		return v.malformed()
	}
	*into = string(v.bytes)
	return nil
}

func (v field) asMessage(into *[]byte) error {
	if v.kind != protowire.BytesType {
		return v.malformed()
	}
	*into = v.bytes
	return nil
}

func (v field) malformed() error { return errors.Annotatef(ErrMalformed, "field %d", v.number) }

func putUint(b []byte, number protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), v)
}

func putInt(b []byte, number protowire.Number, v int) []byte {
	if v == 0 {
		return b
	}
	return putUint(b, number, protowire.EncodeZigZag(int64(v)))
}

func putString(b []byte, number protowire.Number, v string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, number, protowire.BytesType), v)
}

func putBytes(b []byte, number protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, number, protowire.BytesType), v)
}
