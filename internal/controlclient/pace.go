package controlclient

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Times of the calls of LastKnown.
const (
	// lastKnownTimeout bounds the first call to a process. It covers some round trips to the
	// farthest data centre. A VM without power does not respond at all, and each call opens a
	// new connection.
	lastKnownTimeout = 200 * time.Millisecond
	// maxLastKnownTimeout bounds later calls.
	maxLastKnownTimeout = 800 * time.Millisecond
	// lastKnownRetryPause is the wait before the next call to a process after an error. A
	// process that is starting refuses connections for some tenths of a second, which costs it
	// nothing.
	lastKnownRetryPause = 30 * time.Millisecond
	// lastKnownRepeatInterval is the wait before the next call to a process that replied. All
	// entries call a process at once while it still has to apply its log.
	lastKnownRepeatInterval = 150 * time.Millisecond
	// lastKnownStepInterval is the time before a survey adds one more process.
	lastKnownStepInterval = 30 * time.Millisecond
	// lastKnownCallsPerSecond is how many calls a second a control process should get.
	lastKnownCallsPerSecond = 1000
)

// pace sets the times at which an entry that has just started calls control processes, from the
// replies so far.
//
// Load: a thousand entries start together. If each called all control processes at once, and
// again after a timeout, one round would be ten thousand calls. The processes would work on
// calls whose callers have given up, and the repeated calls would time out as well.
type pace struct {
	// entries is the largest number of entries that a process has reported.
	entries int
	// timeouts is the number of consecutive calls that timed out.
	timeouts int
}

// observe records a reply.
func (p *pace) observe(reply *noderpc.LastKnownReply) {
	p.entries = max(p.entries, int(reply.Entries))
	p.timeouts = 0
}

// step returns the time before the survey adds one more of all control processes.
func (p *pace) step(processes int) time.Duration {
	return max(lastKnownStepInterval, p.roundTime()/time.Duration(max(1, processes)))
}

// timeout returns the timeout of the next call. It grows after timeouts, because a process also
// works on calls whose callers have given up.
func (p *pace) timeout() time.Duration {
	return min(lastKnownTimeout<<min(p.timeouts, 2), maxLastKnownTimeout)
}

// pause returns the wait before the next call to the same process, after a reply (nil) or an
// error.
func (p *pace) pause(err error) time.Duration {
	if err == nil {
		return max(lastKnownRepeatInterval, p.roundTime())
	}
	if errors.Is(err, context.DeadlineExceeded) {
		p.timeouts++
	}
	return lastKnownRetryPause
}

// roundTime returns the time in which a process is meant to reply to each entry once.
func (p *pace) roundTime() time.Duration {
	return time.Duration(p.entries) * time.Second / lastKnownCallsPerSecond
}
