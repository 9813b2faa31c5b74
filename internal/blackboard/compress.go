package blackboard

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/juju/errors"
)

// maxUncompressedBytes bounds what a compressed part may unfold to, in bytes: a
// board with thousands of routes takes a few megabytes.
const maxUncompressedBytes = 64 << 20

// gzipWriters are kept between uses: a new one takes most of a megabyte.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// pack returns data compressed. Configurations repeat their field names and
// take a tenth of their size, and each goes to every entry.
func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	z := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(z)
	z.Reset(&b)
	if _, err := z.Write(data); err != nil {
		return nil, errors.Trace(err)
	}
	if err := z.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return b.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Trace(err)
	}
	out, err := io.ReadAll(io.LimitReader(z, maxUncompressedBytes))
	return out, errors.Trace(err)
}

// packed tells compressed data from JSON by its first bytes.
func isCompressed(data []byte) bool { return len(data) > 2 && data[0] == 0x1f && data[1] == 0x8b }

// compressedCommand is the compressed form of a long command.
type compressedCommand struct {
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
	body, err := compress(plain)
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err := json.Marshal(compressedCommand{Packed: body})
	return data, errors.Trace(err)
}

// UnmarshalJSON reads the compressed form.
func (c *ReplaceConfiguration) UnmarshalJSON(data []byte) error {
	var p compressedCommand
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Trace(err)
	}
	plain, err := decompress(p.Packed)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.Unmarshal(plain, (*plainConfiguration)(c)))
}
