package harness

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
)

// isStopped reports whether all threads of a process are stopped by a signal.
func isStopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil {
			return false
		}
		// The state follows the name, which is in parentheses and may contain some.
		if _, state, ok := bytes.Cut(stat[bytes.LastIndexByte(stat, ')')+1:], []byte(" ")); !ok || state[0] != 'T' {
			return false
		}
	}
	return true
}
