package relay

import "github.com/juju/errors"

// PeerAnswers is what peers said of a backend server that none of them connected to.
type PeerAnswers struct {
	// Refused holds the ids of the peers whose connections its host refused.
	Refused []string
	// Absent holds those that said nothing of it, with the outcome: they are cut off, busy or
	// stopping, or did not answer in time.
	Absent []string
}

// DialError is the failure of a dial through peers.
type DialError struct {
	Answers PeerAnswers
	cause   errors.ConstError
}

func (e *DialError) Error() string { return e.cause.Error() }

// Unwrap returns ErrNoPeer, ErrRefused or ErrNotConnected.
func (e *DialError) Unwrap() error { return e.cause }

// dialAnswers collects the answers of the peers that one dial asks.
type dialAnswers struct {
	peers    []Peer
	outcomes map[string]Outcome
}

func newDialAnswers(peers []Peer) *dialAnswers {
	return &dialAnswers{peers: peers, outcomes: make(map[string]Outcome, len(peers))}
}

func (a *dialAnswers) add(r result) { a.outcomes[r.peer.ID] = r.outcome }

// isComplete reports whether all peers have answered.
func (a *dialAnswers) isComplete() bool { return len(a.outcomes) == len(a.peers) }

// failure returns the error of a dial that no peer connected. A peer without an answer counts as
// silent.
func (a *dialAnswers) failure() *DialError {
	e := &DialError{cause: ErrNotConnected}
	for _, p := range a.peers {
		outcome, ok := a.outcomes[p.ID]
		switch {
		case !ok:
			e.Answers.Absent = append(e.Answers.Absent, p.ID+":"+string(OutcomeSilent))
		case outcome == OutcomeRefused:
			e.Answers.Refused = append(e.Answers.Refused, p.ID)
		default:
			e.Answers.Absent = append(e.Answers.Absent, p.ID+":"+string(outcome))
		}
	}
	if len(e.Answers.Absent) == 0 {
		e.cause = ErrRefused
	}
	return e
}
