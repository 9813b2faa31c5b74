package blackboard

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/bounded"
)

// MaxEncodedBytes bounds a command or a snapshot, decompressed, in bytes. A board with thousands of
// routes takes a few megabytes.
const MaxEncodedBytes = 64 << 20

// gzipWriters reuses writers, because a new writer allocates most of a megabyte.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// compress returns data as gzip. Configurations repeat their field names and shrink to a tenth,
// which matters because each configuration is sent to every entry.
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

// decompress returns bounded.ErrTooLarge for data of more than MaxEncodedBytes.
func decompress(data []byte) ([]byte, error) { return decompressUpTo(data, MaxEncodedBytes) }

func decompressUpTo(data []byte, maxBytes int64) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Trace(err)
	}
	out, err := bounded.ReadAll(z, maxBytes)
	return out, errors.Trace(err)
}

// isCompressed distinguishes gzip from JSON by the first two bytes.
func isCompressed(data []byte) bool { return len(data) > 2 && data[0] == 0x1f && data[1] == 0x8b }

// compressedCommand is the encoded form of a compressed command.
type compressedCommand struct {
	Packed []byte `json:"packed"`
}

// plainConfiguration has the fields of ReplaceConfiguration and the default JSON encoding.
type plainConfiguration ReplaceConfiguration

// MarshalJSON returns the compressed form.
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

// UnmarshalJSON decodes the compressed form.
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
