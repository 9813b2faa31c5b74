// Package runstate keeps a small file in the data folder of a process that says how its last run ended.
//
// The file says that the process runs from its start to an orderly end. A run that ends in another way leaves it so.
package runstate

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
)

// End is how a run ended.
type End string

// The ends of a run.
const (
	// Stopped: by a signal.
	Stopped End = "stopped"
	// Failed: it could not go on, and said so.
	Failed End = "failed"
	// Unannounced: by a crash, a kill, or a loss of power.
	Unannounced End = "unannounced"
	// None: there was no run with this folder.
	None End = "none"
	// Unknown: the file can't be read, or not in time.
	Unknown End = "unknown"
)

const (
	// fileName is the name of the file in the data folder.
	fileName = "run-state"
	// running is what the file says during a run.
	running = "running"
	// recordLength is the length of the file, in bytes. It never changes, so that a full disk has room for each state.
	recordLength = 16
)

// ErrUnknownState is returned for a file whose content is none of the states.
const ErrUnknownState = errors.ConstError("the file with the state of the last run holds no known state")

// Run is the run of this process. Its file is written twice at most, by one goroutine that nothing waits for without
// a limit: a disk may be full, or stall.
type Run struct {
	path     string
	report   func(error)
	previous chan End
	ends     chan End
	written  chan struct{}
}

// Begin reads how the last run ended, and then records in folder that this one runs. The folder must exist, and no
// other process may use it. It does not wait for the disk. report is called with each failure, from another goroutine.
func Begin(folder string, report func(error)) *Run {
	r := &Run{
		path: filepath.Join(folder, fileName), report: report,
		previous: make(chan End, 1), ends: make(chan End, 1), written: make(chan struct{}),
	}
	go r.keep()
	return r
}

// PreviousEnd returns how the last run ended, or Unknown if that is not known within limit. It is called once.
func (r *Run) PreviousEnd(limit time.Duration) End {
	select {
	case e := <-r.previous:
		return e
	case <-time.After(limit):
		return Unknown
	}
}

// End records how this run ends, and waits for that for limit at most. It is called once.
func (r *Run) End(e End, limit time.Duration) {
	r.ends <- e
	select {
	case <-r.written:
	case <-time.After(limit):
	}
}

// keep reads the file and makes both writes, in this order.
func (r *Run) keep() {
	defer close(r.written)
	previous, err := read(r.path)
	if err != nil {
		r.report(errors.Annotate(err, "reading how the last run ended"))
	}
	r.previous <- previous
	if err := write(r.path, running); err != nil {
		r.report(errors.Annotate(err, "recording that this process runs"))
	}
	if err := write(r.path, string(<-r.ends)); err != nil {
		r.report(errors.Annotate(err, "recording how this run ends"))
	}
}

// read returns how the run ended that wrote the file.
func read(path string) (End, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return None, nil
	}
	if err != nil {
		return Unknown, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	record, err := io.ReadAll(io.LimitReader(file, recordLength))
	if err != nil {
		return Unknown, errors.Trace(err)
	}
	switch state := strings.TrimSpace(string(record)); state {
	case running:
		return Unannounced, nil
	case string(Stopped), string(Failed):
		return End(state), nil
	}
	return Unknown, errors.Trace(ErrUnknownState)
}

// write replaces the record in its place and syncs it.
func write(path, state string) error {
	return replace(path, func(file *os.File) error { return writeRecord(file, state) })
}

// replace opens the file and has it written. After a failure it empties the file, so that the next run does not take an
// older state for that of this one.
func replace(path string, write func(*os.File) error) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	err = write(file)
	if err != nil {
		_ = file.Truncate(0)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

func writeRecord(file *os.File, state string) error {
	record := state + strings.Repeat(" ", recordLength-len(state)-1) + "\n"
	if _, err := file.WriteAt([]byte(record), 0); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(file.Sync())
}
