package intake

import "time"

const (
	// window is the time over which delays are measured and after which the limit may change.
	window = 50 * time.Millisecond
	// overloadDelay is the delay from which on a window counts as overloaded: a fifth of the time that a connection to a
	// backend server may take. An entry that is kept from its processor for longer takes servers for lost whose answers
	// it has not looked at.
	overloadDelay = 40 * time.Millisecond
	// onsetWindows is how many overloaded windows in a row set a limit. A pause of the process, and the work that it
	// leaves behind, last for less.
	onsetWindows = 2
	// onsetDivisor sets the first limit to half of the connections in use, which have grown meanwhile beyond what the
	// process can serve. cutDivisor cuts it by a quarter, growDivisor lets it grow by a sixteenth in a window.
	onsetDivisor = 2
	cutDivisor   = 4
	growDivisor  = 16
	// minLimit is the least limit: that few connections are not what keeps a process busy.
	minLimit = 16
	// endWindows is how many windows in a row must refuse nothing before the limit ends.
	endWindows = 100
	// minInterval is the longest time without an accepted connection while callers come. Others take an entry that
	// accepts nothing for lost.
	minInterval = 500 * time.Millisecond
)

// limiter limits the number of connections in use by the delay that the process suffers itself. It has no clock.
type limiter struct {
	// limit is the number of connections in use up to which new ones are accepted; 0 if there is no limit.
	limit int
	// overloaded and calm count the latest windows in a row that were overloaded, or refused nothing.
	overloaded, calm int
	// refused counts the connections that this window has refused.
	refused int
	// acceptedAt is when a connection was last accepted.
	acceptedAt time.Time
}

// accept decides about one new connection while inUse others are in use.
func (l *limiter) accept(now time.Time, inUse int) bool {
	if l.limit > 0 && inUse >= l.limit && now.Sub(l.acceptedAt) < minInterval {
		l.refused++
		return false
	}
	l.acceptedAt = now
	return true
}

// endWindow adapts the limit to the delay of a window.
func (l *limiter) endWindow(delay time.Duration, inUse int) {
	refused := l.refused
	l.refused = 0
	l.overloaded++
	if delay < overloadDelay {
		l.overloaded = 0
	}
	l.calm++
	if refused > 0 || l.overloaded > 0 {
		l.calm = 0
	}
	switch {
	case l.limit == 0 && l.overloaded >= onsetWindows && inUse > minLimit:
		l.limit = max(minLimit, inUse/onsetDivisor)
	case l.limit == 0:
	case l.calm >= endWindows:
		l.limit = 0
	case l.overloaded >= onsetWindows && inUse <= l.limit:
		// While more connections are in use than the last cut allows, its effect is not known yet.
		l.limit, l.overloaded = max(minLimit, l.limit-l.limit/cutDivisor), 0
	case l.overloaded == 0 && refused > 0 && inUse <= l.limit:
		l.limit += max(1, l.limit/growDivisor)
	}
}
