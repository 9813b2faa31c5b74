package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startTalker starts a peer that answers each request with a text and then sends parts without end.
// It returns the peer.
func startTalker(t *testing.T, text, part string) Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, err := io.WriteString(c, text)
				for err == nil {
					_, err = io.WriteString(c, part)
				}
			}()
		}
	}()
	return Peer{ID: "talker", Address: l.Addr().String(), DataCentre: "near"}
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
