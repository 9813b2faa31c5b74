package controlclient

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Times of the questions about what was last known.
const (
	// lastKnownTimeout bounds the first question to a process: some round trips of the
	// farthest data centres. A VM that has no power yet does not answer at all, and each
	// question tries it anew.
	lastKnownTimeout = 200 * time.Millisecond
	// maxLastKnownTimeout bounds a later one.
	maxLastKnownTimeout = 800 * time.Millisecond
	// lastKnownRetryPause is the wait before a process is asked again that gave no
	// answer; one that is just starting refuses connections for some tenths of a
	// second, which costs it nothing.
	lastKnownRetryPause = 30 * time.Millisecond
	// lastKnownRepeatInterval is the same for one that answered: all entries ask at once
	// while it has its log to apply.
	lastKnownRepeatInterval = 150 * time.Millisecond
	// lastKnownStepInterval is the time before one more process is asked.
	lastKnownStepInterval = 30 * time.Millisecond
	// lastKnownCallsPerSecond is how many questions a second a control process is meant to get.
	lastKnownCallsPerSecond = 1000
)

// pace says when an entry that has just started asks control processes, from what it has seen.
//
// Load: a thousand entries start together. Where each asks all control processes at once, and
// again when an answer is late, the questions of one round are ten thousand; processes work on
// those that nobody waits for any more, and what is asked anew is late again.
type pace struct {
	// entries is how many entries ask, as far as a process has told.
	entries int
	// late is how many questions in a row had no answer in time.
	timeouts int
}

// learn takes in an answer.
func (p *pace) observe(reply *noderpc.LastKnownReply) {
	p.entries = max(p.entries, int(reply.Entries))
	p.timeouts = 0
}

// step is the time before one more of all control processes is asked.
func (p *pace) step(processes int) time.Duration {
	return max(lastKnownStepInterval, p.roundTime()/time.Duration(max(1, processes)))
}

// timeout bounds the next question. It grows while answers are late: what is given up is
// worked on all the same.
func (p *pace) timeout() time.Duration {
	return min(lastKnownTimeout<<min(p.timeouts, 2), maxLastKnownTimeout)
}

// pause is the time before the same process is asked again, after an answer or an error.
func (p *pace) pause(err error) time.Duration {
	if err == nil {
		return max(lastKnownRepeatInterval, p.roundTime())
	}
	if errors.Is(err, context.DeadlineExceeded) {
		p.timeouts++
	}
	return lastKnownRetryPause
}

// share is the time in which a process is meant to answer each entry once.
func (p *pace) roundTime() time.Duration {
	return time.Duration(p.entries) * time.Second / lastKnownCallsPerSecond
}
