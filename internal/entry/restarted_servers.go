package entry

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// errServerRestarted is the cause of an attempt that ends because the process that it was sent to is gone.
const errServerRestarted = errors.ConstError("the backend server has restarted")

// serverProcess identifies the process that attempts are sent to: the head of a group, or a plain instance.
type serverProcess struct {
	id, incarnation string
	isPlain         bool
}

func (r route) process() serverProcess {
	return serverProcess{id: r.head, incarnation: r.incarnation, isPlain: r.group == ""}
}

// isReplaced reports whether the board shows a later process in the place of this one. The leader takes an
// incarnation over only from a process that started later. A process that is silent, dead or not on the board may still
// send.
func (p serverProcess) isReplaced(b *blackboard.Board) bool {
	shown := b.VMs[p.id].Incarnation
	if p.isPlain {
		shown = b.Services[p.id].Incarnation
	}
	return p.incarnation != "" && shown != "" && shown != p.incarnation
}

// openServers holds the processes that have attempts of this entry. It is safe for concurrent use.
//
// Failure: the VM of a backend server loses its power and comes back. No connection is reset, and a request without
// another attempt waits for its deadline at a process that is gone.
type openServers struct {
	mu        sync.Mutex
	processes map[serverProcess]*openServer
}

// openServer is a process that has attempts. ctx ends once it is gone.
type openServer struct {
	attempts int
	ctx      context.Context
	cancel   context.CancelFunc
}

func newOpenServers() *openServers {
	return &openServers{processes: make(map[serverProcess]*openServer)}
}

// attach makes an attempt end once its process is gone. The returned function ends the attachment.
func (o *openServers) attach(p serverProcess, w *watchdog) (detach func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	server := o.processes[p]
	if server == nil {
		server = &openServer{}
		server.ctx, server.cancel = context.WithCancel(context.Background())
		o.processes[p] = server
	}
	server.attempts++
	stop := context.AfterFunc(server.ctx, func() { w.endAfterReading(errServerRestarted) })
	return func() {
		stop()
		o.detach(p, server)
	}
}

func (o *openServers) detach(p serverProcess, server *openServer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	server.attempts--
	if server.attempts > 0 {
		return
	}
	server.cancel()
	if o.processes[p] == server {
		delete(o.processes, p)
	}
}

// endReplaced ends the attempts on processes that a board shows as replaced, and returns how many each of these has.
func (o *openServers) endReplaced(b *blackboard.Board) map[serverProcess]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := make(map[serverProcess]int)
	for p, server := range o.processes {
		if !p.isReplaced(b) {
			continue
		}
		server.cancel()
		ended[p] = server.attempts
		delete(o.processes, p)
	}
	return ended
}

// endAttemptsOnRestarted ends the attempts on backend servers that have restarted.
func (s *Server) endAttemptsOnRestarted(b *blackboard.Board) {
	for p, attempts := range s.openServers.endReplaced(b) {
		_ = level.Info(s.o.Logger).Log("event", "server_restarted", "server", p.id, "incarnation", p.incarnation, "attempts", attempts)
	}
}

// endAfterReading ends the attempt once nothing more is read, as what its backend server had sent may lie ready. While
// the attempt waits for its caller, nothing is read.
func (w *watchdog) endAfterReading(cause error) {
	for w.ctx.Err() == nil {
		due, reads := w.due.Load(), w.reads.Load()
		time.Sleep(readyAnswerTime)
		if !w.isPaused.Load() && w.due.Load() == due && w.reads.Load() == reads {
			w.cancel(cause)
		}
	}
}

// readCounter counts the reads of an answer's body.
type readCounter struct {
	io.ReadCloser
	w *watchdog
}

func (r readCounter) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	r.w.reads.Add(1)
	return n, err
}
