package entry

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

const (
	// answerChunk is how much of an answer that is not streamed is read at once, in bytes.
	answerChunk = 32 << 10
	// largeAnswer is the length, in bytes, from which an answer takes its memory from the share of large ones.
	largeAnswer = 256 << 10
)

const (
	// errAnswerTooLong is returned for an answer over its limit in bytes.
	errAnswerTooLong = errors.ConstError("the answer is over the limit")
	// errAnnouncedTooLong is returned for an answer that announces a length over its limit.
	errAnnouncedTooLong = errors.ConstError("the announced length of the answer is over the limit")
)

// chunks holds chunks of answers for use by later ones.
var chunks = sync.Pool{New: func() any { return new([answerChunk]byte) }}

// answerBuffer holds a complete answer in chunks, so that no growing buffer takes memory twice. Its bytes count
// towards the memory budget until release.
type answerBuffer struct {
	memory *memoryBudget
	parts  []*[answerChunk]byte
	// last is the end of the answer that fills no chunk.
	last   []byte
	length int
	// reserved is the part of the memory budget that the answer uses, large the part of it in the share of
	// large answers. Both are in bytes.
	reserved, large int
}

// readAnswer reads a body of at most limit bytes to its end; one that ends early is an error. length is its
// announced length, or -1. While the memory budget is used up, the body is not read.
func readAnswer(ctx context.Context, m *memoryBudget, body io.Reader, length int64, limit int) (*answerBuffer, error) {
	limit = min(limit, m.longestAnswer())
	if length > int64(limit) {
		return nil, errors.Trace(errAnnouncedTooLong)
	}
	if length >= 0 {
		limit = int(length)
	}
	b := &answerBuffer{memory: m}
	if err := b.read(ctx, body, limit); err != nil {
		b.release()
		return nil, err
	}
	return b, nil
}

// bodyLength returns the length of an answer's body that its head announces, or -1. The answer to HEAD announces
// the length of another one's.
func bodyLength(method string, announced int64) int64 {
	if method == http.MethodHead {
		return -1
	}
	return announced
}

func (b *answerBuffer) read(ctx context.Context, body io.Reader, limit int) error {
	for {
		if err := b.reserve(ctx, limit); err != nil {
			return errors.Trace(err)
		}
		chunk := chunks.Get().(*[answerChunk]byte)
		n, err := fill(body, chunk[:])
		b.length += n
		if err == nil && b.length <= limit {
			b.parts = append(b.parts, chunk)
			continue
		}
		b.last = append(b.last, chunk[:n]...)
		chunks.Put(chunk)
		switch {
		case b.length > limit:
			return errors.Trace(errAnswerTooLong)
		case err == io.EOF:
			b.trim()
			return nil
		}
		return errors.Trace(err)
	}
}

// fill reads until p is full. It returns the reader's own error, so that a cut body is told from one at its end.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		read := 0
		read, err = r.Read(p[n:])
		n += read
	}
	return n, err
}

// reserve reserves memory for the next chunk. An answer that turns out to be large reserves all that it may still
// need, in the share of large answers.
//
// Load: many large answers arrive at once. Harm: each has a part of the memory and waits for more, so that none
// ends, and small answers wait with them until their deadlines.
func (b *answerBuffer) reserve(ctx context.Context, limit int) error {
	if b.length+answerChunk <= b.reserved {
		return nil
	}
	if b.reserved < largeAnswer {
		if err := b.memory.reserve(ctx, answerChunk); err != nil {
			return err
		}
		b.reserved += answerChunk
		return nil
	}
	rest := max(0, limit-b.reserved) + answerChunk
	if err := b.memory.reserveLarge(ctx, rest); err != nil {
		return err
	}
	b.reserved += rest
	b.large = rest
	return nil
}

// trim releases what was reserved and is not used.
func (b *answerBuffer) trim() {
	unused := b.reserved - b.length
	b.memory.releaseLarge(min(unused, b.large))
	b.memory.release(max(0, unused-b.large))
	b.reserved, b.large = b.length, max(0, b.large-unused)
}

// release releases the answer's memory. The answer must not be used any more.
func (b *answerBuffer) release() {
	if b == nil {
		return
	}
	for _, part := range b.parts {
		chunks.Put(part)
	}
	b.memory.releaseLarge(b.large)
	b.memory.release(b.reserved - b.large)
	b.parts, b.last, b.length, b.reserved, b.large = nil, nil, 0, 0, 0
}

// writeTo writes the answer.
func (b *answerBuffer) writeTo(w io.Writer) error {
	for _, part := range b.parts {
		if _, err := w.Write(part[:]); err != nil {
			return errors.Trace(err)
		}
	}
	_, err := w.Write(b.last)
	return errors.Trace(err)
}

// bytes returns a copy of the answer in one piece.
func (b *answerBuffer) bytes() []byte {
	all := make([]byte, 0, b.length)
	for _, part := range b.parts {
		all = append(all, part[:]...)
	}
	return append(all, b.last...)
}
