package failure

import (
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func TestFromFindsTheTypeInAnAnnotatedError(t *testing.T) {
	base := New(TypeConflict, "revision 4 expected").WithRan(RanNo)
	err := errors.Annotate(errors.Trace(base), "applying")
	assert.Equal(t, From(err).Type, TypeConflict)
	assert.Assert(t, Is(err, TypeConflict))
	assert.Assert(t, !Is(err, TypeInternal))
}

func TestFromKeepsTheTextOfAnUntypedError(t *testing.T) {
	err := errors.ConstError("disk full")
	assert.Equal(t, From(err).Type, TypeInternal)
	assert.Equal(t, From(err).Message, "disk full")
}
