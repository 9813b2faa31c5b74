package replica

import (
	"time"

	"github.com/citronstep/citronstep/internal/raft"
)

// VoterStatus tells whether as many voters answer the leader as are wanted.
type VoterStatus struct {
	raft.VoterShortage
	// MissingFor is how long voters have been missing, as far as this leader knows. It is zero
	// if none is missing.
	MissingFor time.Duration
}

// shortage is the leader's present shortage of voters.
type shortage struct {
	raft.VoterShortage
	// since is the time at which this leader first missed a voter, if one is missing.
	since time.Duration
}

func (s shortage) isMissing() bool { return s.Answering < s.Wanted }

func (s shortage) status(now time.Duration) VoterStatus {
	v := VoterStatus{VoterShortage: s.VoterShortage}
	if s.isMissing() {
		v.MissingFor = now - s.since
	}
	return v
}

// observeShortage records the present shortage, and logs when it begins, changes or ends.
func (n *Node) observeShortage(now raft.VoterShortage) {
	before := n.shortage
	n.shortage = shortage{VoterShortage: now, since: before.since}
	switch {
	case now == before.VoterShortage:
	case n.shortage.isMissing():
		if !before.isMissing() {
			n.shortage.since = n.opts.Now()
		}
		n.logger.warn("msg", "voters are missing", "answering", now.Answering, "wanted", now.Wanted,
			"missing_ms", n.missingMillis(), "action", now.Action)
	case before.isMissing():
		n.logger.info("msg", "no voter is missing any more", "wanted", now.Wanted, "missing_ms", n.missingMillis())
	}
}

func (n *Node) missingMillis() int64 {
	return (n.opts.Now() - n.shortage.since).Milliseconds()
}
