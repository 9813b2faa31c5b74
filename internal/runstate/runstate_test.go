package runstate

import (
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// long is longer than a healthy disk needs.
const long = 30 * time.Second

func mustNotFail(t *testing.T) func(error) {
	return func(err error) { t.Errorf("reported: %v", err) }
}

// awaitRunning waits until the file says that a run is on.
func awaitRunning(t *testing.T, folder string) {
	t.Helper()
	for {
		if e, err := read(filepath.Join(folder, fileName)); err == nil && e == Unannounced {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a start that can't tell a kill of the last run from its stop.
func TestNextRunLearnsHowTheLastOneEnded(t *testing.T) {
	folder := t.TempDir()
	want := None
	for _, e := range []End{Stopped, Failed, Unannounced, Stopped} {
		r := Begin(folder, mustNotFail(t))
		assert.Equal(t, r.PreviousEnd(long), want)
		awaitRunning(t, folder)
		if e != Unannounced {
			r.End(e, long)
		}
		want = e
	}
	info, err := os.Stat(filepath.Join(folder, fileName))
	assert.NilError(t, err)
	assert.Equal(t, info.Size(), int64(recordLength))
}

// Guards against a damaged or unreadable file that stops the process or passes for a known end.
func TestUnreadableStateIsReportedAndReplaced(t *testing.T) {
	for name, damage := range map[string]func(path string) error{
		"empty":       func(path string) error { return os.WriteFile(path, nil, 0o600) },
		"other words": func(path string) error { return os.WriteFile(path, []byte("stoppedrunning!!"), 0o600) },
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			assert.NilError(t, damage(filepath.Join(folder, fileName)))
			reported := make(chan error, 1)
			r := Begin(folder, func(err error) { reported <- err })
			assert.Equal(t, r.PreviousEnd(long), Unknown)
			assert.Assert(t, errors.Is(<-reported, ErrUnknownState))
			r.End(Stopped, long)
			next := Begin(folder, mustNotFail(t))
			assert.Equal(t, next.PreviousEnd(long), Stopped)
			next.End(Stopped, long)
		})
	}
}

// Guards against writes that are made again and again, and against a failed one that stops the process.
func TestFailedWritesAreReportedOnceEach(t *testing.T) {
	var reports atomic.Int64
	r := Begin(filepath.Join(t.TempDir(), "no folder"), func(error) { reports.Add(1) })
	assert.Equal(t, r.PreviousEnd(long), None)
	r.End(Stopped, long)
	assert.Equal(t, reports.Load(), int64(2))
}

// Guards against a disk that stalls and holds up the start or the stop of the process.
func TestStalledDiskDelaysNeitherStartNorStop(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, syscall.Mkfifo(filepath.Join(folder, fileName), 0o600))
	r := Begin(folder, func(error) {})
	assert.Equal(t, r.PreviousEnd(time.Millisecond), Unknown)
	r.End(Stopped, time.Millisecond)
	select {
	case <-r.written:
		t.Error("the file was written although its disk stands still")
	default:
	}
}

// Guards against a failed write that leaves the state of the run before, which the next start would believe.
func TestFailedWriteLeavesNoOlderState(t *testing.T) {
	path := filepath.Join(t.TempDir(), fileName)
	assert.NilError(t, write(path, string(Stopped)))
	err := replace(path, func(*os.File) error { return syscall.ENOSPC })
	assert.Assert(t, errors.Is(err, syscall.ENOSPC))
	e, err := read(path)
	assert.Equal(t, e, Unknown)
	assert.Assert(t, errors.Is(err, ErrUnknownState))
}
