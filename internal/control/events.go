package control

import (
	"time"

	"github.com/citronstep/citronstep/internal/adminapi"
)

// maxEvents bounds the events kept for operators; the oldest are dropped first.
const maxEvents = 2000

// eventLog keeps the recent events of the current leader's term. It is not safe for concurrent
// use.
type eventLog struct {
	leader  string
	next    uint64
	events  []adminapi.Event
	changed chan struct{}
}

func newEventLog() *eventLog {
	return &eventLog{next: 1, changed: make(chan struct{})}
}

func (l *eventLog) reset(leader string) {
	l.leader = leader
	l.next = 1
	l.events = nil
	l.wake()
}

func (l *eventLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *eventLog) add(kind, subject, text string, now time.Time) {
	l.events = append(l.events, adminapi.Event{
		Sequence: l.next, AtMillis: now.UnixMilli(), Kind: kind, Subject: subject, Text: text,
	})
	l.next++
	if len(l.events) > maxEvents {
		l.events = append([]adminapi.Event(nil), l.events[len(l.events)-maxEvents/2:]...)
	}
	l.wake()
}

func (l *eventLog) after(sequence uint64) adminapi.Events {
	out := adminapi.Events{Leader: l.leader}
	for _, e := range l.events {
		if e.Sequence > sequence {
			out.Events = append(out.Events, e)
		}
	}
	return out
}

func (s *Server) event(kind, subject, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events.add(kind, subject, text, time.Now())
}
