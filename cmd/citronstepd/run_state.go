package main

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/runstate"
	"github.com/citronstep/citronstep/internal/settings"
)

const (
	// previousEndWait bounds the wait for how the last run ended. The node runs meanwhile.
	previousEndWait = time.Second
	// endRecordWait bounds what the disk may add to a stop: the wait for the record of how this run ends.
	endRecordWait = time.Second
)

// beginRun records in the data folder of a control process that it runs. It returns nil for a process without one. The
// node must have been created: it holds the lock of the folder.
func beginRun(s *settings.Settings, logger log.Logger) *runstate.Run {
	if !s.Control.Enabled {
		return nil
	}
	return runstate.Begin(s.Control.DataFolder, func(err error) {
		_ = level.Warn(logger).Log("event", "run_state_failed", "err", err)
	})
}

// previousEnd returns how the last run ended.
func previousEnd(r *runstate.Run) runstate.End {
	if r == nil {
		return runstate.Unknown
	}
	return r.PreviousEnd(previousEndWait)
}

// endRun records how this run ends. It is called before the node releases the data folder.
func endRun(r *runstate.Run, e runstate.End) {
	if r != nil {
		r.End(e, endRecordWait)
	}
}
