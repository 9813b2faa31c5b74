package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/settings"
)

// reloadInterval is the interval at which the settings file is checked for changes,
// because platforms may change it without a signal.
const reloadInterval = 2 * time.Second

// reloadLoop applies changes of the settings file: every reloadInterval, and at once
// on SIGHUP. It applies only settings that a running process can change; the others
// take effect at the next restart.
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
		case <-p.signals.reload:
			isForced = true
		case <-ticker.C:
		}
		current = p.reload(current, isForced)
	}
}

// reload reads the settings file, applies it if it has changed or isForced is set,
// and returns the file's content. An invalid file changes nothing; reload tries again
// after its next change. If the file can't be read, reload returns current.
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
