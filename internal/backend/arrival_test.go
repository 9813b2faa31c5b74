package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// arriveIn lets an answer arrive in pieces, one after each interval, and returns the time of the last.
func arriveIn(a *arrival, now time.Time, interval time.Duration, pieces int) time.Time {
	for range pieces {
		now = now.Add(interval)
		a.read(now, []byte("b"))
	}
	return now
}

// Guards against an answer that counts as a trickle although it came within a moment, in few pieces, or has ceased.
func TestAnswerInFewPiecesIsNoTrickle(t *testing.T) {
	for name, row := range map[string]struct {
		interval  time.Duration
		pieces    int
		silence   time.Duration
		isTrickle bool
	}{
		"trickle":     {interval: 50 * time.Millisecond, pieces: 20, isTrickle: true},
		"slow":        {interval: maxPieceGap, pieces: minPieces, silence: maxPieceGap, isTrickle: true},
		"at once":     {interval: time.Millisecond, pieces: 800},
		"few":         {interval: maxPieceGap, pieces: minPieces - 1},
		"has stopped": {interval: pieceInterval, pieces: 20, silence: maxPieceGap + time.Millisecond},
	} {
		a, now := arrival{}, time.Now()
		a.begin()
		now = arriveIn(&a, now, row.interval, row.pieces)
		assert.Equal(t, a.isTrickle(now.Add(row.silence)), row.isTrickle, name)
	}
}

// Guards against an answer that counts as a trickle for an earlier one on its connection, or for 1xx answers.
func TestTrickleBeginsWithItsAnswer(t *testing.T) {
	var a arrival
	now := arriveIn(&a, time.Now(), pieceInterval, minPieces)
	assert.Assert(t, a.isTrickle(now))
	a.begin()
	assert.Assert(t, !a.isTrickle(now))

	now = arriveIn(&a, now, pieceInterval, minPieces)
	for _, part := range []string{"\r", "\n", "\r\n"} {
		assert.Assert(t, a.isTrickle(now))
		a.read(now, []byte(part))
	}
	assert.Assert(t, !a.isTrickle(now))

	a.beginBody()
	now = arriveIn(&a, now, pieceInterval, minPieces)
	a.read(now, []byte(headEnd))
	assert.Assert(t, a.isTrickle(now))
}

// Guards against a call on a kept connection that counts as a trickle for the slow answer before it.
func TestKeptConnectionForgetsItsLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := NewHTTPClient(Options{Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }})
		defer c.Close()
		go func() {
			defer func() { _ = far.Close() }()
			requests := bufio.NewReader(far)
			_, _ = http.ReadRequest(requests)
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for range minPieces {
				time.Sleep(pieceInterval)
				_, _ = io.WriteString(far, "1\r\nb\r\n")
			}
			_, _ = io.WriteString(far, "0\r\n\r\n")
			_, _ = http.ReadRequest(requests)
			_, _ = io.WriteString(far, "HTTP/1.1 2")
			_, _ = requests.ReadByte()
		}()
		ctx, cancel := context.WithTimeout(t.Context(), pieceInterval*minPieces+maxPieceGap)
		defer cancel()
		call := ServiceCall{Method: http.MethodGet, Path: "/", Host: "h", Verbatim: true}
		answer, err := c.Call(ctx, "a", call)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
		_, err = c.Call(ctx, "a", call)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, !errors.Is(err, ErrTrickled), "%v", err)
	})
}
