package intake

import (
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// delayProbe measures how long a goroutine that waits for data is kept from a processor: the time from a write to a
// pipe of this process until the goroutine that reads it runs. The data of callers and backend servers take the same
// way, through the runtime's poller and its queue.
type delayProbe struct {
	reader, writer *os.File

	mu sync.Mutex
	// sentAt is when the open probe was sent; zero if none is open.
	sentAt time.Time
	// shortest is the shortest delay of the probes that have ended since the last take, ended counts them.
	shortest time.Duration
	ended    int
}

func newDelayProbe() (*delayProbe, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &delayProbe{reader: r, writer: w}, nil
}

// receive ends probes until the probe is closed.
func (p *delayProbe) receive() {
	var data [1]byte
	for {
		if _, err := p.reader.Read(data[:]); err != nil {
			return
		}
		p.end(time.Now())
	}
}

// send begins a probe, unless one is open.
func (p *delayProbe) send(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sentAt.IsZero() {
		return
	}
	if _, err := p.writer.Write([]byte{0}); err == nil {
		p.sentAt = now
	}
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

func (p *delayProbe) close() {
	_ = p.writer.Close()
	_ = p.reader.Close()
}
