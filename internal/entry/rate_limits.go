package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement"
)

// rateLimits holds the rate limits of backend servers: those that the backend servers state in
// their answers to this entry, and those that other entries have written to the board. It is
// safe for concurrent use.
type rateLimits struct {
	mu sync.Mutex
	// known holds the limits by incarnation.
	known map[string]rateLimit
	// board holds the limits of the board that was last applied.
	board map[string]blackboard.RateLimit
	// reportedAt is when this entry last reported a backend server's limit to the board.
	reportedAt map[string]time.Time
}

// rateLimit is the limit that this entry applies to one backend server.
type rateLimit struct {
	// perSecond is how many requests a second the backend server accepts from all entries
	// together. It is nil for a server that no longer states a limit, until the board shows
	// none either.
	perSecond *float64
	// learnedAt is when the entry learned of the limit.
	learnedAt time.Time
	// fromAnswer is set if the limit came with an answer to this entry and not from the board.
	fromAnswer bool
}

// value returns the limit for the log; 0 for none.
func (l rateLimit) value() float64 {
	if l.perSecond == nil {
		return 0
	}
	return *l.perSecond
}

// limitChange is a changed limit; a nil perSecond ends the limit.
type limitChange struct {
	incarnation       string
	perSecond, before *float64
}

// limit returns the limit for placement; nil for none.
func (c limitChange) limit() *placement.RateLimit {
	if c.perSecond == nil {
		return nil
	}
	limit := placement.NamedLimit(*c.perSecond)
	return &limit
}

const (
	// limitConfirmInterval is how often an unchanged limit is reported to the board. The leader
	// removes limits that no entry confirms.
	limitConfirmInterval = 10 * time.Second
	// limitReportInterval is the least time between two reports of one backend server's limit.
	limitReportInterval = time.Second
)

func newRateLimits() *rateLimits {
	return &rateLimits{known: make(map[string]rateLimit), reportedAt: make(map[string]time.Time)}
}

// observe records the limit in an answer to a request that was sent at the time sent; nil is no
// limit. It reports whether the limit changed.
//
// Answers can overtake each other, so an answer without a limit ends only a limit that was
// learned before its request was sent.
func (l *rateLimits) observe(now, sent time.Time, incarnation string, limit *float64) (limitChange, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.known[incarnation]
	change := limitChange{incarnation: incarnation, perSecond: limit, before: before.perSecond}
	switch {
	case limit != nil:
		l.known[incarnation] = rateLimit{perSecond: limit, learnedAt: now, fromAnswer: true}
		return change, before.perSecond == nil || *before.perSecond != *limit
	case known && before.perSecond != nil && sent.After(before.learnedAt):
		l.known[incarnation] = rateLimit{learnedAt: now, fromAnswer: true}
		return change, true
	}
	return change, false
}

// applyBoard applies the limits of a board and returns the changes. An unchanged row is
// ignored: the limits that this entry has received since are newer.
func (l *rateLimits) applyBoard(now time.Time, board map[string]blackboard.RateLimit) []limitChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []limitChange
	for incarnation := range l.board {
		if _, kept := board[incarnation]; kept {
			continue
		}
		before := l.known[incarnation]
		delete(l.known, incarnation)
		delete(l.reportedAt, incarnation)
		if before.perSecond != nil {
			changes = append(changes, limitChange{incarnation: incarnation, before: before.perSecond})
		}
	}
	for incarnation, row := range board {
		if old, known := l.board[incarnation]; known && old == row {
			continue
		}
		before := l.known[incarnation]
		if before.perSecond != nil && row.Near(*before.perSecond) {
			continue
		}
		perSecond := row.PerSecond
		l.known[incarnation] = rateLimit{perSecond: &perSecond, learnedAt: now}
		changes = append(changes, limitChange{incarnation: incarnation, perSecond: &perSecond, before: before.perSecond})
	}
	l.board = board
	return changes
}

// dueReports returns the limits that the board should show and does not.
func (l *rateLimits) dueReports(now time.Time) []blackboard.RecordRateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var notes []blackboard.RecordRateLimit
	for incarnation, limit := range l.known {
		if !limit.fromAnswer || now.Sub(l.reportedAt[incarnation]) < limitReportInterval {
			continue
		}
		row, onBoard := l.board[incarnation]
		switch {
		case limit.perSecond == nil && !onBoard:
			delete(l.known, incarnation)
			delete(l.reportedAt, incarnation)
			continue
		case limit.perSecond == nil:
		case onBoard && row.Near(*limit.perSecond) && limit.learnedAt.UnixMilli()-row.ReceivedMillis < limitConfirmInterval.Milliseconds():
			continue
		}
		note := blackboard.RecordRateLimit{Incarnation: incarnation}
		if limit.perSecond != nil {
			note.Limit = &blackboard.RateLimit{PerSecond: *limit.perSecond, ReceivedMillis: limit.learnedAt.UnixMilli()}
		}
		l.reportedAt[incarnation] = now
		notes = append(notes, note)
	}
	return notes
}

// isLimited reports whether a backend server limits its rate.
func (l *rateLimits) isLimited(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[incarnation].perSecond != nil
}

// count returns how many backend servers limit their rate.
func (l *rateLimits) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, limit := range l.known {
		if limit.perSecond != nil {
			n++
		}
	}
	return n
}

// observeRateLimit records and applies the rate limit in an answer to a request that was sent
// at the time sent; nil is no limit.
func (s *Server) observeRateLimit(r route, limit *float64, sent time.Time) {
	if change, ok := s.rateLimits.observe(time.Now(), sent, r.incarnation, limit); ok {
		s.applyRateLimit(change, "answer")
	}
}

// updateRateLimits applies the limits of a board.
func (s *Server) updateRateLimits(b *blackboard.Board) {
	for _, change := range s.rateLimits.applyBoard(time.Now(), b.RateLimits) {
		s.applyRateLimit(change, "board")
	}
}

// applyRateLimit puts a changed limit into effect on this entry.
func (s *Server) applyRateLimit(c limitChange, source string) {
	share := s.dispatcher.setRateLimit(time.Now(), c.incarnation, placement.CauseNamed, c.limit())
	event := "rate_limit_ended"
	if c.perSecond != nil {
		event = "rate_limit_named"
	}
	_ = level.Info(s.o.Logger).Log("event", event, "incarnation", c.incarnation, "by", source,
		"per_second", rateLimit{perSecond: c.perSecond}.value(), "before", rateLimit{perSecond: c.before}.value(), "share", share)
}

// reportRateLimits writes the limits to the board that this entry has received and the board
// lacks.
func (s *Server) reportRateLimits(ctx context.Context, now time.Time) {
	if s.o.Control == nil {
		return
	}
	for _, note := range s.rateLimits.dueReports(now) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, boardTimeout)
			defer cancel()
			err := s.commitBoard(ctx, &note, nil)
			_ = level.Info(s.o.Logger).Log("event", "rate_limit_reported", "incarnation", note.Incarnation,
				"ended", note.Limit == nil, "err", errText(err))
		}()
	}
}
