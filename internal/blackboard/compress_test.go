package blackboard

import (
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/bounded"
)

// Guards against a few kilobytes that unpack to any size, and against a part of a board or of a
// configuration that is taken for the whole.
func TestDataOverTheLimitIsNotUnpacked(t *testing.T) {
	const most = 1 << 10
	for size, want := range map[int]error{most: nil, most + 1: bounded.ErrTooLarge} {
		packed, err := compress(make([]byte, size))
		assert.NilError(t, err)
		data, err := decompressUpTo(packed, most)
		assert.Assert(t, errors.Is(err, want), "%v", err)
		assert.Equal(t, len(data), most)
	}
}
