package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/settings"
)

// reloadInterval is how often the settings file is looked at: platforms may
// change it without a signal.
const reloadInterval = 2 * time.Second

// reloadLoop takes in changes of the settings file, on SIGHUP at once. Only
// what can change in a running process is taken; the rest waits for a restart.
func (p *process) reloadLoop(ctx context.Context) {
	if p.file == "" {
		return
	}
	current, err := os.ReadFile(p.file)
	if err != nil {
		_ = level.Warn(p.logger).Log("event", "reload_failed", "err", err)
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		isForced := false
		select {
		case <-ctx.Done():
			return
		case <-p.reloadSignals:
			isForced = true
		case <-ticker.C:
		}
		current = p.reload(current, isForced)
	}
}

// reload reads the file and returns what it holds. A file that is not good
// changes nothing, and is read again when it changes.
func (p *process) reload(current []byte, isForced bool) []byte {
	data, err := os.ReadFile(p.file)
	if err != nil {
		_ = level.Warn(p.logger).Log("event", "reload_failed", "err", err)
		return current
	}
	if !isForced && bytes.Equal(data, current) {
		return current
	}
	s, err := settings.Load(p.file)
	if err != nil {
		_ = level.Warn(p.logger).Log("event", "reload_failed", "err", err)
		return data
	}
	p.node.Reload(s)
	_ = level.Info(p.logger).Log("event", "reloaded", "control", len(s.Peers.Control))
	return data
}
