package entry

import (
	"context"
	"strings"
	"sync"

	"github.com/citronstep/citronstep/internal/failure"
)

// answer is one request's answer as it grows. One job writes it; each caller
// that sent the request reads it from the start, so a resend that attaches to
// a running request gets the same whole answer.
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

// signal wakes the readers; the lock is held.
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

// end makes the answer whole.
func (a *answer) end(finish string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done, a.finish = true, finish
	a.signal()
}

// fail ends the answer with a failure. What was written stays readable, but
// never counts as whole.
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

// size returns the bytes of text so far.
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

// progress is what a reader sees past its position.
type answerUpdate struct {
	tokens []string
	done   bool
	finish string
	failed *failure.Error
}

// wait returns what there is past the first from tokens, waiting until there
// is something.
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

// whole waits for the end and returns the whole text.
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

// attach counts a reader in.
func (a *answer) attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

// detach counts a reader out and returns how many are left.
func (a *answer) detach() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	return a.readers
}
