package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement"
)

// rateLimits holds the rate limits of backend servers: what they name in their answers to
// this entry, and what other entries have written to the board. It is safe for concurrent use.
type rateLimits struct {
	mu sync.Mutex
	// known is by incarnation.
	known map[string]rateLimit
	// board are the limits on the board that was last followed.
	board map[string]blackboard.RateLimit
	// toldAt is when this entry last wrote of a backend server to the board.
	reportedAt map[string]time.Time
}

// rateLimit is what this entry goes by for one backend server.
type rateLimit struct {
	// perSecond is how many requests a second it takes from all entries together; nil for
	// one that has ceased to name a limit, until the board says so too.
	perSecond *float64
	// at is when the entry learned it.
	learnedAt time.Time
	// heard says that an answer to this entry told it, and not the board.
	fromAnswer bool
}

// value is the limit for the log; 0 for none.
func (l rateLimit) value() float64 {
	if l.perSecond == nil {
		return 0
	}
	return *l.perSecond
}

// limitChange is a limit that has changed; a nil perSecond ends it.
type limitChange struct {
	incarnation       string
	perSecond, before *float64
}

// limit returns the limit to be kept; nil for none.
func (c limitChange) limit() *placement.RateLimit {
	if c.perSecond == nil {
		return nil
	}
	limit := placement.NamedLimit(*c.perSecond)
	return &limit
}

const (
	// confirmEvery is how often the board hears of a limit that stays. The leader ends
	// those that nobody confirms.
	limitConfirmInterval = 10 * time.Second
	// tellLimitAgain is the time between two words to the board about one backend server.
	limitReportInterval = time.Second
)

func newRateLimits() *rateLimits {
	return &rateLimits{known: make(map[string]rateLimit), reportedAt: make(map[string]time.Time)}
}

// hear takes in what the answer to a request says, which was sent at a time; nil is no
// limit. It tells whether that changes anything.
//
// Answers overtake each other, so one without a limit ends only a limit that was learned
// before its request was sent.
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

// follow takes in the limits of a board and returns what they change. A row that has not
// changed says nothing: what this entry has heard since is newer.
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

// due returns the limits that the board should hold and does not.
func (l *rateLimits) dueReports(now time.Time) []blackboard.NoteRateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var notes []blackboard.NoteRateLimit
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
		case onBoard && row.Near(*limit.perSecond) && limit.learnedAt.UnixMilli()-row.HeardMillis < limitConfirmInterval.Milliseconds():
			continue
		}
		note := blackboard.NoteRateLimit{Incarnation: incarnation}
		if limit.perSecond != nil {
			note.Limit = &blackboard.RateLimit{PerSecond: *limit.perSecond, HeardMillis: limit.learnedAt.UnixMilli()}
		}
		l.reportedAt[incarnation] = now
		notes = append(notes, note)
	}
	return notes
}

// limits tells whether a backend server limits its rate.
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

// hearForwarded takes in what the answer to a forwarded request says of its backend
// server's rate limit. One that proves nothing may lack the limit for any reason.
func (s *Server) observeForwarded(r route, a *backend.ForwardAnswer, sent time.Time) {
	genuine := !a.Foreign && (a.Proven || a.NotRun)
	if a.OtherServer || (!genuine && a.RateLimit == nil) {
		return
	}
	s.observeRateLimit(r, a.RateLimit, sent)
}

// hearRefused takes in what a failed call says of its backend server's rate limit.
func (s *Server) observeRefusal(r route, err error, sent time.Time) {
	var call *backend.CallError
	if errors.As(err, &call) && (call.RateLimit != nil || call.Sent == backend.SentRefused) {
		s.observeRateLimit(r, call.RateLimit, sent)
	}
}

// hearRateLimit takes in the rate limit in the answer to a request, which was sent at a
// time; nil is none.
func (s *Server) observeRateLimit(r route, limit *float64, sent time.Time) {
	if change, ok := s.rateLimits.observe(time.Now(), sent, r.incarnation, limit); ok {
		s.applyRateLimit(change, "answer")
	}
}

// followRateLimits takes in the limits of a board.
func (s *Server) updateRateLimits(b *blackboard.Board) {
	for _, change := range s.rateLimits.applyBoard(time.Now(), b.RateLimits) {
		s.applyRateLimit(change, "board")
	}
}

// limitRate puts a changed limit in force on this entry.
func (s *Server) applyRateLimit(c limitChange, source string) {
	share := s.dispatcher.setRateLimit(time.Now(), c.incarnation, placement.Named, c.limit())
	event := "rate_limit_ended"
	if c.perSecond != nil {
		event = "rate_limit_named"
	}
	_ = level.Info(s.o.Logger).Log("event", event, "incarnation", c.incarnation, "by", source,
		"per_second", rateLimit{perSecond: c.perSecond}.value(), "before", rateLimit{perSecond: c.before}.value(), "share", share)
}

// tellRateLimits writes to the board what this entry has heard and the board lacks.
func (s *Server) reportRateLimits(ctx context.Context, now time.Time) {
	if s.o.Control == nil {
		return
	}
	for _, note := range s.rateLimits.dueReports(now) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, boardTimeout)
			defer cancel()
			err := s.commitBoard(ctx, &note, nil)
			_ = level.Info(s.o.Logger).Log("event", "rate_limit_told", "incarnation", note.Incarnation,
				"ended", note.Limit == nil, "err", errText(err))
		}()
	}
}
