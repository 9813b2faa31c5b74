package duplextest

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// resetRounds is how many calls CheckReset makes.
const resetRounds = 30

// CheckReset makes calls whose answers announce no end and are reset in their bodies while the requests are still being
// written. It fails the test if a client returns such a part as an answer.
func CheckReset(t *testing.T, c interface {
	Do(r *http.Request) (*http.Response, error)
}) {
	t.Helper()
	const part = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\npart"
	address := Start(t, part, ResetUpload)
	for range resetRounds {
		r, err := http.NewRequest(http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, UploadBytes)))
		assert.NilError(t, err)
		answer, err := c.Do(r)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		assert.Assert(t, err != nil, "a part of an answer was read as the whole: %q", body)
	}
}
