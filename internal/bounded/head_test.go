package bounded

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

const testBuffer = 1 << 10

// answering returns a connection on which a peer sends text.
func answering(t *testing.T, text io.Reader) net.Conn {
	t.Helper()
	own, peer := net.Pipe()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.Copy(peer, text)
		_ = peer.Close()
	}()
	t.Cleanup(func() {
		_ = own.Close()
		<-sent
	})
	return own
}

// repeated is a text without end.
type repeated string

func (r repeated) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], r)
	}
	return n, nil
}

// Guards against a peer whose head has no end: one line, many lines or one value.
func TestHeadWithoutEndIsDropped(t *testing.T) {
	request, err := http.NewRequest(http.MethodGet, "http://peer/", nil)
	assert.NilError(t, err)
	for name, text := range map[string]io.Reader{
		"status line":  repeated("x"),
		"header lines": io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"), repeated("A: b\r\n")),
		"one value":    io.MultiReader(strings.NewReader("HTTP/1.1 101 Switching Protocols\r\nA: "), repeated("x")),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := ReadHead(answering(t, text), request, testBuffer)
			assert.Assert(t, errors.Is(err, ErrTooLarge), "%v", err)
		})
	}
}

// Guards against a bound on a head that ends what follows it.
func TestWhatFollowsAHeadHasNoBound(t *testing.T) {
	request, err := http.NewRequest(http.MethodGet, "http://peer/", nil)
	assert.NilError(t, err)
	request.Header.Set("Upgrade", "p")
	want := strings.Repeat("x", 3*MaxHeadBytes)
	text := "HTTP/1.1 101 Switching Protocols\r\nUpgrade: p\r\nConnection: Upgrade\r\n\r\n" + want
	answer, reader, err := ReadHead(answering(t, strings.NewReader(text)), request, testBuffer)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusSwitchingProtocols)
	got, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}
