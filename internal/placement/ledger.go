package placement

import "time"

// ledgerSize bounds the changes kept for one target. At 3,000 requests a
// second over 9 entries and 89 groups a target sees 4 requests a second of one
// entry, so it covers several seconds, more than a report is late.
const ledgerSize = 64

// change is work that this process gave to a target, or got back from it.
type change struct {
	at     time.Time
	tokens int
}

// ledger keeps the latest changes, to tell how much of the work in flight a
// late report can't have counted.
type ledger struct {
	changes [ledgerSize]change
	next    int
	count   int
}

func (l *ledger) add(now time.Time, tokens int) {
	l.changes[l.next] = change{now, tokens}
	l.next = (l.next + 1) % ledgerSize
	l.count = min(l.count+1, ledgerSize)
}

// since returns the sum of the changes after t.
func (l *ledger) since(t time.Time) int {
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

// given returns how often work was given after t.
func (l *ledger) given(t time.Time) int {
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
