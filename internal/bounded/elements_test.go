package bounded

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against documents whose elements take far more memory than their bytes, and against a limit that documents
// of the usual elements meet.
func TestDocumentOfTooManyElementsIsRefused(t *testing.T) {
	const longest = 4 << 20
	for element, allowed := range map[string]bool{
		`{},`: false, `"",`: false, `{"a":1},`: false,
		`{"service":"a-service","weight":50},`: true, `"key-0123456789",`: true,
	} {
		err := CheckElements([]byte(strings.Repeat(element, longest/len(element))))
		assert.Equal(t, errors.Is(err, ErrTooManyElements), !allowed, element)
	}
}
