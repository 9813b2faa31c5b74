package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/citronstep/citronstep/internal/node"
	"github.com/citronstep/citronstep/internal/runstate"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/test/process/harness"
)

const errPlanned = errors.ConstError("planned failure")

// Guards against a run that ended by a failure of its own and that the next start takes for a stop, or for a kill.
func TestFailureOfTheNodeIsTheEndOfTheRun(t *testing.T) {
	s := settings.Dev(t.TempDir())
	s.Entry.Enabled = false
	s.Admin.Listen = harness.FreeAddress(t)
	s.Peers.Listen = harness.FreeAddress(t)
	s.Peers.Advertise, s.Peers.Control = s.Peers.Listen, []string{s.Peers.Listen}
	lines := &lockedLines{}
	logger := log.NewLogfmtLogger(lines)
	n, err := node.New(s, log.NewNopLogger())
	assert.NilError(t, err)
	_, stop := context.WithCancel(context.Background())
	p := &process{node: n, settings: s, logger: logger, stop: stop, done: make(chan error, 1), run: beginRun(s, logger)}
	p.done <- errPlanned
	assert.Equal(t, p.serve(), exitFailure)
	assert.Assert(t, is.Contains(lines.String(), "event=failed"))
	assert.Assert(t, is.Contains(lines.String(), "event=stopped code=1"))
	harness.Await(t, "the end of the run is recorded", func() bool {
		record, err := os.ReadFile(filepath.Join(s.Control.DataFolder, "run-state"))
		return err == nil && strings.HasPrefix(string(record), string(runstate.Failed))
	})
}
