package replica

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// logger writes log lines by level. It drops a line that can't be written, because a replica
// must not stop when its log does.
type logger struct{ to log.Logger }

func (l logger) debug(keyvals ...any) { _ = level.Debug(l.to).Log(keyvals...) }
func (l logger) info(keyvals ...any)  { _ = level.Info(l.to).Log(keyvals...) }
func (l logger) warn(keyvals ...any)  { _ = level.Warn(l.to).Log(keyvals...) }
func (l logger) error(keyvals ...any) { _ = level.Error(l.to).Log(keyvals...) }
