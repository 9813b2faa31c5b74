package blackboard

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/juju/errors"
)

// maxUncompressed bounds what a compressed part may unfold to, in bytes: a
// board with thousands of routes takes a few megabytes.
const maxUncompressed = 64 << 20

// compressors are kept between uses: a new one takes most of a megabyte.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// pack returns data compressed. Configurations repeat their field names and
// take a tenth of their size, and each goes to every entry.
func pack(data []byte) ([]byte, error) {
	var b bytes.Buffer
	z := compressors.Get().(*gzip.Writer)
	defer compressors.Put(z)
	z.Reset(&b)
	if _, err := z.Write(data); err != nil {
		return nil, errors.Trace(err)
	}
	if err := z.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return b.Bytes(), nil
}

func unpack(data []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Trace(err)
	}
	out, err := io.ReadAll(io.LimitReader(z, maxUncompressed))
	return out, errors.Trace(err)
}

// packed tells compressed data from JSON by its first bytes.
func packed(data []byte) bool { return len(data) > 2 && data[0] == 0x1f && data[1] == 0x8b }

// packedCommand is the compressed form of a long command.
type packedCommand struct {
	Packed []byte `json:"packed"`
}

// plainConfiguration has the fields of a ReplaceConfiguration and the ordinary
// JSON form.
type plainConfiguration ReplaceConfiguration

// MarshalJSON writes the compressed form.
func (c ReplaceConfiguration) MarshalJSON() ([]byte, error) {
	plain, err := json.Marshal(plainConfiguration(c))
	if err != nil {
		return nil, errors.Trace(err)
	}
	body, err := pack(plain)
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err := json.Marshal(packedCommand{Packed: body})
	return data, errors.Trace(err)
}

// UnmarshalJSON reads the compressed form.
func (c *ReplaceConfiguration) UnmarshalJSON(data []byte) error {
	var p packedCommand
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Trace(err)
	}
	plain, err := unpack(p.Packed)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.Unmarshal(plain, (*plainConfiguration)(c)))
}
