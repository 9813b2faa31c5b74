package bounded

import (
	"bytes"

	"github.com/juju/errors"
)

// Limits of the elements of one JSON document. An empty object of two bytes takes hundreds of bytes once decoded.
const (
	maxObjects = 1 << 17
	maxValues  = 1 << 18
)

// ErrTooManyElements is returned for a document that would take too much memory once decoded.
const ErrTooManyElements = errors.ConstError("the document has more than 131072 objects or 262144 values")

// CheckElements returns ErrTooManyElements for a JSON document of too many elements, however short they are.
func CheckElements(document []byte) error {
	if bytes.Count(document, []byte{'{'}) > maxObjects || bytes.Count(document, []byte{','}) > maxValues {
		return errors.Trace(ErrTooManyElements)
	}
	return nil
}
