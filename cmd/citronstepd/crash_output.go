package main

import (
	"os"
	"runtime/debug"
	"syscall"

	"github.com/juju/errors"
)

// Paths of the open files of this process.
const (
	standardOutputPath = "/proc/self/fd/1"
	standardErrorPath  = "/proc/self/fd/2"
)

// prepareCrashOutput makes the trace of a panic or of a fatal runtime error appear on standard output as well as on
// standard error, and keeps the crash from waiting for a reader of either.
//
// Failure: nobody reads the log, and its pipe is full. The process crashes, blocks while it writes its trace, and never
// ends. Both files are opened anew, because the files that the process was given may be shared with others, and writes
// to standard output have to go on waiting for their reader.
func prepareCrashOutput() error {
	out, err := os.Stdout.Stat()
	if err != nil {
		return errors.Annotate(err, "standard output")
	}
	errs, err := os.Stderr.Stat()
	if err != nil {
		return errors.Annotate(err, "standard error")
	}
	replaceErr := errors.Annotate(replaceStandardError(errs.Mode()), "standard error")
	if os.SameFile(out, errs) {
		return replaceErr
	}
	if err := traceOnStandardOutput(); err != nil {
		return errors.Annotate(err, "standard output")
	}
	return replaceErr
}

// replaceStandardError opens standard error anew if it is a pipe, so that writes to it don't block. A file that is
// not a pipe keeps its position, which it may share with standard output.
func replaceStandardError(mode os.FileMode) error {
	if mode&os.ModeNamedPipe == 0 {
		return nil
	}
	fd, err := openNonblocking(standardErrorPath)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	return errors.Trace(syscall.Dup3(fd, int(os.Stderr.Fd()), 0))
}

// traceOnStandardOutput has the runtime write its traces to standard output too.
func traceOnStandardOutput() error {
	fd, err := openNonblocking(standardOutputPath)
	if err != nil {
		return errors.Trace(err)
	}
	file := os.NewFile(uintptr(fd), standardOutputPath)
	defer func() { _ = file.Close() }()
	if err := debug.SetCrashOutput(file, debug.CrashOptions{}); err != nil {
		return errors.Trace(err)
	}
	// SetCrashOutput may make the file blocking, and its own copy of the descriptor with it.
	return errors.Trace(syscall.SetNonblock(fd, true))
}

func openNonblocking(path string) (int, error) {
	return syscall.Open(path, syscall.O_WRONLY|syscall.O_APPEND|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
}
