package placement

import "time"

// ledgerSize bounds the changes kept for one target. At 3,000 requests a second over 9 entries
// and 89 groups a target receives 4 requests a second from one entry. The ledger then covers
// several seconds, more than the delay of a report.
const ledgerSize = 64

// workChange is work that this entry added to a target, or removed from it when an attempt
// ended.
type workChange struct {
	at     time.Time
	tokens int
}

// ledger keeps the latest changes of a target's work. It shows how much of the work in flight a
// late report can't have counted.
type ledger struct {
	changes [ledgerSize]workChange
	next    int
	count   int
}

func (l *ledger) add(now time.Time, tokens int) {
	l.changes[l.next] = workChange{now, tokens}
	l.next = (l.next + 1) % ledgerSize
	l.count = min(l.count+1, ledgerSize)
}

// netSince returns the sum of the changes after t, in tokens.
func (l *ledger) netSince(t time.Time) int {
	sum := 0
	for i := 1; i <= l.count; i++ {
		c := l.changes[(l.next-i+ledgerSize)%ledgerSize]
		if !c.at.After(t) {
			break
		}
		sum += c.tokens
	}
	return sum
}

// additionsSince returns how many times work was added after t.
func (l *ledger) additionsSince(t time.Time) int {
	n := 0
	for i := 1; i <= l.count; i++ {
		c := l.changes[(l.next-i+ledgerSize)%ledgerSize]
		if !c.at.After(t) {
			break
		}
		if c.tokens > 0 {
			n++
		}
	}
	return n
}
