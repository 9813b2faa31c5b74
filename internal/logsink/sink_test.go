package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLinesKeepTheirOrder(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := s.Write([]byte(line))
		assert.NilError(t, err)
	}
	s.Close()
	_, err := s.Write([]byte("late\n"))
	assert.NilError(t, err)
	assert.Equal(t, out.String(), "a\nb\nc\n")
}

// The reader of the log stops reading. Writers must not block, excess lines must be counted,
// and a line must report their number when the reader continues.
func TestStoppedReaderBlocksNoWriter(t *testing.T) {
	r, w := io.Pipe()
	s := New(w)
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 2 * maxQueuedLines {
		_, err := s.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, s.Dropped() > maxQueuedLines/2)
	var read bytes.Buffer
	var reading sync.WaitGroup
	reading.Go(func() { _, _ = io.Copy(&read, r) })
	s.Close()
	assert.NilError(t, w.Close())
	reading.Wait()
	assert.Assert(t, strings.Contains(read.String(), "event=log_lines_dropped lines="))
}
