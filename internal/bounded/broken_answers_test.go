package bounded

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/httphead"
)

// Guards against processes of the system whose broken heads are taken for heads of answers.
func TestBrokenHeadsAreErrors(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":  "HTTP/1.1 000 Zero\r\n\r\n",
		"a name":      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: p\r\nConnection: Upgrade\r\nX A: b\r\n\r\n",
		"a 1xx head":  "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"version 2.0": "HTTP/2.0 200 OK\r\n\r\n",
	} {
		request, err := http.NewRequest(http.MethodGet, "http://peer/", nil)
		assert.NilError(t, err)
		request.Header.Set("Upgrade", "p")
		_, _, err = ReadHead(answering(t, strings.NewReader(head)), request, testBuffer)
		assert.Check(t, errors.Is(err, httphead.ErrInvalid), "%s: %v", name, err)

		dial := func(context.Context, string, string) (net.Conn, error) { return answeringRequest(t, head), nil }
		client := Client(&http.Client{Transport: &http.Transport{DialContext: dial}}, 1<<20, log.NewNopLogger())
		answer, err := client.Do(request)
		if err == nil {
			_ = answer.Body.Close()
		}
		assert.Check(t, errors.Is(err, httphead.ErrInvalid), "%s: %v", name, err)
	}
}

// answeringRequest returns a connection on which a peer answers one request with a text and closes it.
func answeringRequest(t *testing.T, text string) net.Conn {
	own, peer := net.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if _, err := http.ReadRequest(bufio.NewReader(peer)); err == nil {
			_, _ = io.WriteString(peer, text)
		}
		_ = peer.Close()
	}()
	t.Cleanup(func() {
		_ = own.Close()
		<-ended
	})
	return own
}
