// Package relay connects an entry to backend servers through another entry, while its own links to
// them are down. The other entry passes bytes on in both directions and decides nothing, so
// that all guards of a request stay with the entry that took it. A relaying entry connects to the
// backend server itself and never through a third entry.
package relay

import (
	"net/http"
	"syscall"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/failure"
)

// Path is where an entry accepts relays from its peers. The connection is upgraded to a stream of
// frames, see Conn.
const Path = "/relay"

// The parameters and headers of a request for a relay. headerOutcome is on its refusal.
const (
	paramServer   = "server"
	headerEntry   = "Citronstep-Relay-For"
	headerRequest = "Citronstep-Relay-Request"
	headerOutcome = "Citronstep-Relay-Outcome"
	upgradeToken  = "citronstep-relay"
)

// Outcome is why a peer did not relay a connection, or how a relay ended.
type Outcome string

// The outcomes of a request for a relay.
const (
	// OutcomeRefused: the backend server's host refused the peer's connection.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnreachable: the peer could not connect to the backend server in time.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeCutOff: the peer does not reach backend servers itself.
	OutcomeCutOff Outcome = "cut_off"
	// OutcomeBusy: the peer relays as many connections as it may.
	OutcomeBusy Outcome = "busy"
	// OutcomeUnknown: the peer knows no such backend server, or is stopping.
	OutcomeUnknown Outcome = "unknown_server"
	// OutcomeSilent: the peer did not answer in time.
	OutcomeSilent Outcome = "silent"
)

// How an accepted relay ended: the backend server ended its stream, its connection was lost, or
// the peer closed the relay.
const (
	OutcomeComplete Outcome = "complete"
	OutcomeCut      Outcome = "cut"
	OutcomeClosed   Outcome = "closed"
)

// Errors of a dial through peers.
const (
	// ErrNoPeer means that there is no other entry to ask.
	ErrNoPeer = errors.ConstError("no other entry can relay")
	// ErrRefused means that the backend server's host refused the connections of all peers that
	// were asked.
	ErrRefused = errors.ConstError("the backend server refused the connections of other entries")
	// ErrNotConnected means that no peer connected, for other reasons.
	ErrNotConnected = errors.ConstError("no other entry connected to the backend server")
)

// dialOutcome returns the outcome of a peer's failed dial.
func dialOutcome(err error) Outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return OutcomeRefused
	}
	return OutcomeUnreachable
}

// refuse answers a request for a relay that is not accepted.
func refuse(w http.ResponseWriter, o Outcome) {
	w.Header().Set(headerOutcome, string(o))
	failure.Write(w, failure.New(failure.TypeUnavailable, "no relay: "+string(o)).WithRan(failure.RanNo))
}
