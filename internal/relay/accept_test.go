package relay

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// closingConn closes a relay server while the server's answer is written.
type closingConn struct {
	net.Conn
	server *Server
}

func (c closingConn) Write(b []byte) (int, error) {
	c.server.Close()
	return len(b), nil
}

// hijackedWriter gives up its connection.
type hijackedWriter struct {
	http.ResponseWriter
	conn net.Conn
}

func (w hijackedWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return w.conn, bufio.NewReadWriter(bufio.NewReader(w.conn), bufio.NewWriter(w.conn)), nil
}

// Guards against a relay that is accepted while its server closes and stays open for good.
func TestRelayThatIsAcceptedDuringCloseEnds(t *testing.T) {
	backend, peer := startEcho(t), startPeer(t, "p", "near")
	conn, other := net.Pipe()
	defer func() { _ = other.Close() }()
	w := hijackedWriter{httptest.NewRecorder(), closingConn{conn, peer.server}}
	r := httptest.NewRequest(http.MethodGet, "/?"+url.Values{paramServer: {backend.address()}}.Encode(), nil)
	go peer.server.ServeHTTP(w, r)
	select {
	case <-peer.outcomes:
	case <-time.After(10 * time.Second):
		t.Fatal("the relay is open")
	}
	assert.Equal(t, peer.server.Open(), 0)
}
