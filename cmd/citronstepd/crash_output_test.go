package main

import (
	"bytes"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

const (
	// crashVariable makes this test program crash.
	crashVariable = "CITRONSTEP_TEST_CRASH"
	// lostReaderVariable makes this test program write to a file whose reader has ended.
	lostReaderVariable = "CITRONSTEP_TEST_LOST_READER"
	// crashTimeout is the time after which a crashed process counts as hung.
	crashTimeout = 60 * time.Second
)

func TestMain(m *testing.M) {
	if file := os.Getenv(lostReaderVariable); file != "" {
		writeToLostReader(file)
	}
	if file := os.Getenv(settingsVariable); file != "" {
		runDaemon(file)
	}
	if os.Getenv(crashVariable) == "" {
		os.Exit(m.Run())
	}
	if err := prepareCrashOutput(); err != nil {
		os.Exit(exitFailure)
	}
	panic("planned crash")
}

// crashingProcess returns a process that crashes at once.
func crashingProcess() *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), crashVariable+"=1")
	return c
}

// awaitCrash waits until the process has ended by itself.
func awaitCrash(t *testing.T, c *exec.Cmd) {
	t.Helper()
	assert.NilError(t, c.Start())
	hung := time.AfterFunc(crashTimeout, func() { _ = c.Process.Kill() })
	defer hung.Stop()
	err := c.Wait()
	assert.Assert(t, err != nil)
	assert.Equal(t, c.ProcessState.ExitCode(), 2, "%v", err)
}

// Guards against a panic whose trace is missing where users collect the log.
func TestTraceOfACrashIsOnStandardOutput(t *testing.T) {
	var out, errs bytes.Buffer
	c := crashingProcess()
	c.Stdout, c.Stderr = &out, &errs
	awaitCrash(t, c)
	for _, text := range []string{out.String(), errs.String()} {
		assert.Assert(t, is.Contains(text, "panic: planned crash"))
		assert.Assert(t, is.Contains(text, "goroutine "))
	}
}

// Guards against two copies of a trace where standard error goes to the same file as standard output.
func TestTraceOfACrashIsWrittenOnceToOneFile(t *testing.T) {
	var out bytes.Buffer
	c := crashingProcess()
	c.Stdout, c.Stderr = &out, &out
	awaitCrash(t, c)
	assert.Equal(t, bytes.Count(out.Bytes(), []byte("panic: planned crash")), 1)
}

// Guards against a crashed process that never ends, because nobody reads its log.
func TestCrashWaitsForNoReader(t *testing.T) {
	for name, both := range map[string]bool{"standard output": false, "standard output and standard error": true} {
		t.Run(name, func(t *testing.T) {
			c := crashingProcess()
			full := fullPipe(t)
			c.Stdout = full
			if both {
				c.Stderr = full
			}
			awaitCrash(t, c)
		})
	}
}

// fullPipe returns the writing end of a pipe that takes no more and that nobody reads.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	var ends [2]int
	assert.NilError(t, syscall.Pipe2(ends[:], syscall.O_CLOEXEC))
	assert.NilError(t, syscall.SetNonblock(ends[1], true))
	for {
		if _, err := syscall.Write(ends[1], make([]byte, os.Getpagesize())); err != nil {
			assert.Equal(t, err, syscall.EAGAIN)
			break
		}
	}
	assert.NilError(t, syscall.SetNonblock(ends[1], false))
	reader, writer := os.NewFile(uintptr(ends[0]), "reader"), os.NewFile(uintptr(ends[1]), "writer")
	t.Cleanup(func() {
		_ = reader.Close()
		_ = writer.Close()
	})
	return writer
}
