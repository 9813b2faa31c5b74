package main

import (
	"os"
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a process that ends without a trace, because the reader of its log has ended.
func TestLostReaderOfTheLogEndsNoProcess(t *testing.T) {
	for name, prepared := range map[string]string{"standard output": "1", "standard error": "2"} {
		t.Run(name, func(t *testing.T) {
			reader, writer, err := os.Pipe()
			assert.NilError(t, err)
			assert.NilError(t, reader.Close())
			defer func() { _ = writer.Close() }()
			c := exec.Command(os.Args[0])
			c.Env = append(os.Environ(), lostReaderVariable+"="+prepared)
			c.Stdout, c.Stderr = writer, writer
			assert.NilError(t, c.Run())
		})
	}
}

// writeToLostReader writes to standard output or standard error, whose reader has ended.
func writeToLostReader(file string) {
	notifySignals()
	to := os.Stdout
	if file == "2" {
		to = os.Stderr
	}
	if _, err := to.WriteString("a line\n"); err == nil {
		os.Exit(exitFailure)
	}
	os.Exit(0)
}
