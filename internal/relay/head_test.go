package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/duplex/duplextest"
)

// startTalker starts a peer that answers each request with a text and then sends parts without end.
// It returns the peer.
func startTalker(t *testing.T, text, part string) Peer {
	t.Helper()
	address := duplextest.Start(t, text, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		for err := error(nil); err == nil; {
			_, err = io.WriteString(c, part)
		}
	})
	return Peer{ID: "talker", Address: address, DataCentre: "near"}
}

// Guards against a peer whose answer has no end: its head, which took memory for as long as the dial
// lasted, and the body of a refusal, for which the dial waited and lost the refusal.
func TestAnswerOfAPeerWithoutEndDelaysNoOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		text, part string
		want       Outcome
	}{
		"head":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n", OutcomeSilent},
		"body, endless":   {"HTTP/1.1 503 Busy\r\n" + headerOutcome + ": " + string(OutcomeBusy) + "\r\n\r\n", "x", OutcomeBusy},
		"body, of chunks": {"HTTP/1.1 503 Busy\r\n" + headerOutcome + ": " + string(OutcomeBusy) + "\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", OutcomeBusy},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDialer()
			// The peer never stops: without a bound the call ends with its context alone.
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			r := d.ask(ctx, startTalker(t, c.text, c.part), "10.0.0.1:1", "r")
			assert.NilError(t, ctx.Err())
			assert.Equal(t, r.outcome, c.want)
		})
	}
}
