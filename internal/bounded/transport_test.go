package bounded

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// endless writes to a caller until the caller has gone.
func endless(w http.ResponseWriter) {
	data := bytes.Repeat([]byte("x"), 32<<10)
	for {
		if _, err := w.Write(data); err != nil {
			return
		}
	}
}

// Guards against a process whose memory an answer without end uses up.
func TestAnswerWithoutEndIsDropped(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		gone := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer close(gone)
			w.WriteHeader(status)
			endless(w)
		}))
		defer s.Close()
		var lines bytes.Buffer
		answer, err := Client(&http.Client{}, 1<<20, log.NewLogfmtLogger(&lines)).Get(s.URL + "/p")
		assert.NilError(t, err)
		data, err := io.ReadAll(answer.Body)
		assert.Assert(t, errors.Is(err, ErrTooLarge), "%v", err)
		assert.Equal(t, len(data), map[bool]int{true: 1 << 20, false: maxErrorBytes}[status == http.StatusOK])
		assert.Assert(t, strings.Contains(lines.String(), "answer_too_large"), lines.String())
		assert.NilError(t, answer.Body.Close())
		<-gone
	}
}

// Guards against an answer of exactly the limit that is dropped, whatever the sizes of its reads.
func TestAnswerOfTheLimitIsRead(t *testing.T) {
	const text = "0123456789"
	for name, from := range map[string]func() io.Reader{
		"at once":     func() io.Reader { return strings.NewReader(text) },
		"in bytes":    func() io.Reader { return iotest.OneByteReader(strings.NewReader(text)) },
		"end at once": func() io.Reader { return iotest.DataErrReader(strings.NewReader(text)) },
	} {
		t.Run(name, func(t *testing.T) {
			data, err := ReadAll(from(), int64(len(text)))
			assert.NilError(t, err)
			assert.Equal(t, string(data), text)
			data, err = ReadAll(from(), int64(len(text))-1)
			assert.Assert(t, errors.Is(err, ErrTooLarge), "%v", err)
			assert.Equal(t, string(data), text[:len(text)-1])
		})
	}
}
