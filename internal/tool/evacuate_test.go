package tool

import (
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

func TestEvacuateAndReturnDataCentre(t *testing.T) {
	f := newFakeAdmin(t)
	assert.Assert(t, is.Contains(f.must(t, ExitOK, "evacuate").out, "no data centre is evacuated"))
	f.set(func() { f.pending = 1 })
	r := f.must(t, ExitOK, "evacuate", "hall-b")
	assert.Assert(t, is.Contains(r.err, "not yet in force on: entry-1"))
	assert.Assert(t, is.Contains(r.out, "hall-b gets no new requests from any entry"))
	assert.Assert(t, is.Contains(f.must(t, ExitOK, "evacuate").out, "hall-b  since 2023-11-14T22:13:20Z, in force"))
	assert.Assert(t, is.Contains(f.must(t, ExitOK, "evacuate", "hall-b", "-json").out, `"changed": false`))
	assert.Assert(t, is.Contains(f.must(t, ExitOK, "return", "hall-b").out, "hall-b takes requests again"))
	assert.Assert(t, !f.board.Evacuated("hall-b"))
	f.must(t, ExitUsage, "return")
}
