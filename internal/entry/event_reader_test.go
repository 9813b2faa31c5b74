package entry

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
)

// repeatedBody repeats a text without end and counts what was read.
type repeatedBody struct {
	text string
	read int
	// failsAfter ends the body with an error, so that a reader without a bound ends too.
	failsAfter int
}

func (b *repeatedBody) Read(p []byte) (int, error) {
	if b.read >= b.failsAfter {
		return 0, io.ErrUnexpectedEOF
	}
	for n := range p {
		p[n] = b.text[(b.read+n)%len(b.text)]
	}
	b.read += len(p)
	return len(p), nil
}

func (b *repeatedBody) Close() error { return nil }

// readEvents reads events until an error and returns it.
func readEvents(r *eventReader) error {
	for {
		if _, err := r.next(); err != nil {
			return err
		}
	}
}

// Guards against a stream whose lines without an event use up the entry's memory.
func TestLinesWithoutAnEventAreBounded(t *testing.T) {
	for text, limit := range map[string]int{
		"data: a\n": maxEvent, ": nothing\n": maxComments, ": nothing\n\n": maxComments, "\n": maxComments, "a": maxEvent,
	} {
		body := &repeatedBody{text: text, failsAfter: 4 * maxEvent}
		assert.ErrorIs(t, readEvents(newEventReader(body, newMemoryBudget(0))), backend.ErrLineTooLong)
		assert.Assert(t, body.read <= limit+2*eventBuffer, "%q: %d bytes were read", text, body.read)
	}
}

// Guards against a sound stream that is ended for its comments, or for an event of the largest size.
func TestSoundEventsAreWithinTheBound(t *testing.T) {
	comments := strings.Repeat(": waiting\n\n", maxComments/len(": waiting\n\n")-1)
	largest := "data: " + strings.Repeat("a", maxEvent-len("data: \n\n")) + "\n\n"
	text := strings.Repeat(comments+largest, 3)
	r, got := newEventReader(strings.NewReader(text), newMemoryBudget(0)), 0
	for {
		e, err := r.next()
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		got += len(e.bytes)
	}
	assert.Equal(t, got, len(text))
}

// passWithComments lets time pass while all open runs send a comment each 200 ms.
func (x *soundSystem) passWithComments(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, r := range x.servers.open() {
			r.sendText(": waiting\n\n")
		}
		x.pass(200 * time.Millisecond)
	}
}

// Guards against a stream that is kept alive for ever by comments alone, although another run could take its place.
func TestCommentsAloneAreNoProgressForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 10)
		c := x.begin("stream")
		x.passWithComments(keepAliveTime + 2*streamGap)
		assert.Equal(t, len(x.servers.runs), 2)
		assert.Equal(t, x.servers.last().call.ResumeAfter, uint64(1))
		for _, r := range x.servers.open() {
			r.finish()
		}
		<-c.done
		got := strings.ReplaceAll(c.w.Body.String(), ": waiting\n\n", "")
		assert.Equal(t, got, wholeStream)
		time.Sleep(2 * crashWait)
	})
}

// Guards against a sound stream that is ended for the time in which its server sends comments, as none could take its place.
func TestCommentsEndNoSoundStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 10)
		c := x.begin("single")
		x.passWithComments(keepAliveTime + 2*streamGap)
		assert.Equal(t, len(x.servers.runs), 1)
		for _, r := range x.servers.open() {
			r.finish()
		}
		<-c.done
		assert.Equal(t, strings.ReplaceAll(c.w.Body.String(), ": waiting\n\n", ""), wholeStream)
		time.Sleep(2 * crashWait)
	})
}

// Guards against long events whose memory is not counted or not given back, and against usual ones that have no room
// beside them.
func TestLongEventsShareTheMemoryOfLargeAnswers(t *testing.T) {
	m := newMemoryBudget(256 << 10)
	usual := "id: 1\ndata: " + strings.Repeat("a", usualEvent/2) + "\n\n"
	long := "id: 2\ndata: " + strings.Repeat("a", 4*usualEvent) + "\n\n"
	r := newEventReader(strings.NewReader(usual+long+usual), m)
	for _, want := range []string{usual, long, usual} {
		e, err := r.next()
		assert.NilError(t, err)
		assert.Equal(t, string(e.bytes), want)
		assert.Equal(t, m.reserved() > 0, want == long, "%d bytes reserved", m.reserved())
	}
	_, err := r.next()
	assert.Equal(t, err, io.EOF)

	assert.Assert(t, m.tryReserveLarge(m.largeLimit()))
	r = newEventReader(strings.NewReader(usual+long), m)
	_, err = r.next()
	assert.NilError(t, err)
	_, err = r.next()
	assert.ErrorIs(t, err, errEventMemory)
	assert.Assert(t, isUnreadable(err))
	r.release()
	assert.Equal(t, m.reserved(), int64(m.largeLimit()))
}
