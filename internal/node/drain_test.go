package node

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Failure: a caller reads a long answer slowly. Its job is done when the entry is stopped.
// An entry that waits only for its jobs closes the connection and cuts the answer.
func TestDrainWritesTheCompleteAnswerToASlowReader(t *testing.T) {
	s := start(t, nil)
	conn, err := net.Dial("tcp", s.settings.Entry.Listen)
	assert.NilError(t, err)
	defer conn.Close()
	body := `{"model":"demo","prompt":"a long memo","max_tokens":60000,"stream":true}`
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.0\r\nAuthorization: Bearer "+testKey+
		"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
	assert.NilError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 1000))
	assert.NilError(t, err)

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	drained := make(chan bool, 1)
	go func() {
		drained <- s.node.Drain(ctx)
		s.stop()
	}()
	s.await("the job is done", func() bool { return strings.Contains(s.log.text(), "event=drained_jobs") })
	// The caller reads the rest only after the drain has begun to wait for it.
	time.Sleep(300 * time.Millisecond)
	rest, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"), "cut after %d bytes", len(rest))
	assert.Assert(t, <-drained)
}
