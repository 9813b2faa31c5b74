package backend

import (
	"testing"
	"time"

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
