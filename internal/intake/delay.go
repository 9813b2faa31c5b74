package intake

import (
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/poll"
)

// delayProbe measures how long a goroutine that waits for data is kept from a processor.
type delayProbe struct {
	fence *poll.Fence

	mu sync.Mutex
	// sentAt is when the open probe was sent; zero if none is open.
	sentAt time.Time
	// shortest is the shortest delay of the probes that have ended since the last take, ended counts them.
	shortest time.Duration
	ended    int
}

// send begins a probe, unless one is open.
func (p *delayProbe) send(now time.Time) {
	if !p.begin(now) {
		return
	}
	passed := p.fence.Passed()
	go func() {
		<-passed
		p.end(time.Now())
	}()
}

func (p *delayProbe) begin(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sentAt.IsZero() {
		return false
	}
	p.sentAt = now
	return true
}

func (p *delayProbe) end(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay := now.Sub(p.sentAt)
	p.sentAt = time.Time{}
	if p.ended == 0 || delay < p.shortest {
		p.shortest = delay
	}
	p.ended++
}

// take returns the shortest delay since the last take. One long probe may be due to a pause of the process; if all are
// long, there is always work that waits. An open probe counts if none has ended.
func (p *delayProbe) take(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	ended := p.ended
	p.ended = 0
	switch {
	case ended > 0:
		return p.shortest
	case !p.sentAt.IsZero():
		return now.Sub(p.sentAt)
	}
	return 0
}
