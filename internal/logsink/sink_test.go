package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLinesComeInOrder(t *testing.T) {
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

// The reader of the log stops reading. Writers must go on at once, the lines
// that found no room be counted, and a line tell of them when it reads again.
func TestAStoppedReaderBlocksNobody(t *testing.T) {
	r, w := io.Pipe()
	s := New(w)
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 2 * maxLines {
		_, err := s.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, s.Dropped() > maxLines/2)
	var read bytes.Buffer
	var reading sync.WaitGroup
	reading.Go(func() { _, _ = io.Copy(&read, r) })
	s.Close()
	assert.NilError(t, w.Close())
	reading.Wait()
	assert.Assert(t, strings.Contains(read.String(), "event=log_lines_dropped lines="))
}
