package backend

import (
	"bytes"
	"sync"
	"time"
)

const (
	// pieceInterval is the least time between two pieces of an answer that are counted.
	pieceInterval = 100 * time.Millisecond
	// minPieces is the least number of pieces of an answer that trickles.
	minPieces = 10
	// maxPieceGap is the longest time without bytes after which an answer still counts as arriving.
	maxPieceGap = time.Second
	// headEnd ends the head of an answer.
	headEnd = "\r\n\r\n"
)

// arrival records how the bytes of one answer arrive. It is safe for concurrent use.
//
// Failure: a backend server sends a byte of an answer from time to time, without end. Its requests end at their
// deadlines, as those of a slow server do, and nothing tells the two apart.
type arrival struct {
	mu sync.Mutex
	// pieces counts the reads, those within pieceInterval as one. counted is the time of the last that counts, last
	// that of the last one.
	pieces        int
	counted, last time.Time
	// inBody is set once the head is complete; tail holds the last bytes until then.
	inBody bool
	tail   []byte
}

// begin forgets an earlier answer on the connection.
func (a *arrival) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pieces, a.counted, a.last, a.inBody, a.tail = 0, time.Time{}, time.Time{}, false, a.tail[:0]
}

// beginBody records that the head is complete.
func (a *arrival) beginBody() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inBody = true
}

// read records bytes that have arrived. Complete 1xx answers before the head tell that the server works on it, so the
// count begins anew after each.
func (a *arrival) read(now time.Time, p []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = now
	if now.Sub(a.counted) >= pieceInterval {
		a.pieces, a.counted = a.pieces+1, now
	}
	if a.inBody {
		return
	}
	a.tail = append(a.tail, p[max(0, len(p)-len(headEnd)):]...)
	a.tail = append(a.tail[:0], a.tail[max(0, len(a.tail)-len(headEnd)):]...)
	if bytes.HasSuffix(a.tail, []byte(headEnd)) {
		a.pieces = 0
	}
}

// isTrickle reports whether the answer has arrived in many pieces and goes on to.
func (a *arrival) isTrickle(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pieces >= minPieces && now.Sub(a.last) <= maxPieceGap
}
