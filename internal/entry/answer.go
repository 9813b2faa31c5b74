package entry

import (
	"context"
	"strings"
	"sync"

	"github.com/citronstep/citronstep/internal/failure"
)

// answer is the answer to one request while it is generated. One job writes it. Each caller
// that sent the request reads it from the start, so a resend that attaches to a running request
// gets the same complete answer.
type answer struct {
	mu      sync.Mutex
	tokens  []string
	bytes   int
	finish  string
	failed  *failure.Error
	done    bool
	changed chan struct{}
	readers int
}

func newAnswer() *answer {
	return &answer{changed: make(chan struct{})}
}

// signal wakes the readers. The caller holds the lock.
func (a *answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *answer) append(text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.tokens = append(a.tokens, text)
	a.bytes += len(text)
	a.signal()
}

// end marks the answer as complete.
func (a *answer) end(finish string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done, a.finish = true, finish
	a.signal()
}

// fail ends the answer with a failure. The tokens written so far stay readable, but the answer
// never counts as complete.
func (a *answer) fail(e *failure.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done, a.failed = true, e
	a.signal()
}

// length returns the number of tokens so far.
func (a *answer) length() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tokens)
}

// written returns the tokens so far. It does not wait for one.
func (a *answer) written() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens[:len(a.tokens):len(a.tokens)]
}

// size returns the length of the text so far, in bytes.
func (a *answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// text returns the text so far.
func (a *answer) text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.Join(a.tokens, "")
}

// answerUpdate is the part of an answer that a reader has not seen yet, and the answer's state.
type answerUpdate struct {
	tokens []string
	done   bool
	finish string
	failed *failure.Error
}

// wait returns the tokens from index from on. It blocks until there is at least one, the answer
// has ended, or ctx is done.
func (a *answer) wait(ctx context.Context, from int) (answerUpdate, error) {
	for {
		a.mu.Lock()
		p := answerUpdate{tokens: a.tokens[from:len(a.tokens):len(a.tokens)], done: a.done, finish: a.finish, failed: a.failed}
		changed := a.changed
		a.mu.Unlock()
		if len(p.tokens) > 0 || p.done {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return answerUpdate{}, ctx.Err()
		}
	}
}

// awaitComplete waits for the end of the answer and returns its complete text.
func (a *answer) awaitComplete(ctx context.Context) (string, answerUpdate, error) {
	from := 0
	for {
		p, err := a.wait(ctx, from)
		if err != nil {
			return "", p, err
		}
		from += len(p.tokens)
		if p.done {
			return a.text(), p, nil
		}
	}
}

// attach adds a reader.
func (a *answer) attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

// detach removes a reader and returns how many are left.
func (a *answer) detach() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	return a.readers
}
