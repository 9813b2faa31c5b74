package standin

import "sync"

// scheduler assigns an engine's slots to generations: highest priority first, and in order of
// arrival within one priority.
type scheduler struct {
	mu    sync.Mutex
	free  int
	limit int
	// waiting is sorted by descending priority, then by arrival.
	waiting []*ticket
}

// ticket is a generation that waits for a slot or has one. ready is closed when it gets the
// slot.
type ticket struct {
	priority int
	ready    chan struct{}
}

func newScheduler(slots, limit int) *scheduler {
	return &scheduler{free: slots, limit: limit}
}

// enter returns a ticket, or nil if the queue is full.
func (s *scheduler) enter(priority int) *ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &ticket{priority: priority, ready: make(chan struct{})}
	if s.free > 0 {
		s.free--
		close(t.ready)
		return t
	}
	if len(s.waiting) >= s.limit {
		return nil
	}
	s.insert(t)
	return t
}

func (s *scheduler) insert(t *ticket) {
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].priority < t.priority {
		at--
	}
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[at+1:], s.waiting[at:])
	s.waiting[at] = t
}

// leave releases the slot of a ticket, or removes the ticket from the queue.
func (s *scheduler) leave(t *ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	close(next.ready)
}

func (s *scheduler) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}
