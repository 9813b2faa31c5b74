// Package blackboard holds the replicated tables through which controllers
// and entries work together, and the typed commands that change them.
//
// Each table is a file; its comment says who writes it and who reads it.
// Commands come from the consensus log in one order and apply without clock,
// randomness or I/O, so every replica and every entry that applies the same
// commands holds the same Board. A Board that has been published is never
// changed: applying copies what it touches, see draft.
package blackboard

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Board is one revision of all tables.
type Board struct {
	// Revision grows by one with each command that changed anything.
	Revision uint64 `json:"revision"`
	// ClusterID is set by the first command and never changes.
	ClusterID string                     `json:"cluster_id"`
	Config    Configuration              `json:"config"`
	VMs       map[string]VM              `json:"vms"`
	Groups    map[string]Group           `json:"groups"`
	Services  map[string]ServiceInstance `json:"services"`
	Entries   map[string]Entry           `json:"entries"`
	Suspects  map[string]Suspect         `json:"suspects"`
	// Quarantines are by pool: a model or a plain service.
	Quarantines map[string]Quarantine `json:"quarantines"`
	// Waits is how long callers wait when they first ask, in milliseconds, by route.
	Waits map[string]int64 `json:"waits,omitempty"`
	// RateLimits are those that backend servers name, by incarnation.
	RateLimits map[string]RateLimit `json:"rate_limits,omitempty"`
	// Evacuations are by data centre, ColdServers by incarnation.
	Evacuations map[string]Evacuation `json:"evacuations,omitempty"`
	ColdServers map[string]ColdServer `json:"cold_servers,omitempty"`
	// CallersMillis is when callers first asked for anything, by an entry's clock; 0 if
	// none has.
	CallersMillis int64 `json:"callers_ms,omitempty"`
	// TermBase is added to the consensus term in fencing tokens. It and the
	// first epoch come from the clock at the founding, so that a cluster
	// founded anew, after all control disks were lost, gives orders that
	// engines take for newer than those of the cluster before.
	TermBase uint64 `json:"term_base"`
	// NextEpoch is the epoch that the next forming group gets.
	NextEpoch uint64 `json:"next_epoch"`
	// Changes keeps the answers of recent configuration changes by id.
	Changes     map[string]ChangeOutcome `json:"changes"`
	ChangeOrder []string                 `json:"change_order"`
}

// New returns an empty board at revision 0.
func New() *Board {
	b := &Board{NextEpoch: 1}
	b.initTables()
	return b
}

// fill makes each nil table an empty one, as a snapshot may leave it.
func (b *Board) initTables() {
	b.Config = b.Config.clone()
	b.VMs = orEmpty(b.VMs)
	b.Groups = orEmpty(b.Groups)
	b.Services = orEmpty(b.Services)
	b.Entries = orEmpty(b.Entries)
	b.Suspects = orEmpty(b.Suspects)
	b.Quarantines = orEmpty(b.Quarantines)
	b.Waits = orEmpty(b.Waits)
	b.RateLimits = orEmpty(b.RateLimits)
	b.Evacuations = orEmpty(b.Evacuations)
	b.ColdServers = orEmpty(b.ColdServers)
	b.Changes = orEmpty(b.Changes)
}

func orEmpty[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return m
}

// Encode returns the board as a snapshot.
func (b *Board) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err = compress(data)
	return data, errors.Trace(err)
}

// Decode returns the board that a snapshot holds, be it whole or an entry's copy.
func Decode(snapshot []byte) (*Board, error) {
	b := &Board{}
	if isCompressed(snapshot) {
		plain, err := decompress(snapshot)
		if err != nil {
			return nil, errors.WithType(errors.Annotate(err, "blackboard snapshot"), ErrMalformed)
		}
		snapshot = plain
	}
	if err := json.Unmarshal(snapshot, b); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "blackboard snapshot"), ErrMalformed)
	}
	b.initTables()
	return b, nil
}

// DecodeWhole returns the board that a snapshot of all tables holds.
func DecodeWhole(snapshot []byte) (*Board, error) {
	b, err := Decode(snapshot)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !b.checkMembership() {
		return nil, errors.Annotate(ErrInconsistent, "blackboard snapshot")
	}
	return b, nil
}

// Apply returns the board after one command and the command's result as JSON.
// A command that is refused, or changes nothing, returns the same board.
func (b *Board) Apply(encoded []byte) (*Board, []byte, error) {
	next, result, _, err := b.ApplyChange(encoded)
	return next, result, err
}

// ApplyChange is Apply, and tells what the command changed for entries.
func (b *Board) ApplyChange(encoded []byte) (*Board, []byte, Change, error) {
	command, err := decodeCommand(encoded)
	if err != nil {
		return b, nil, Change{}, errors.Trace(err)
	}
	next := b.draft()
	result, changed := command.apply(next)
	data, err := json.Marshal(result)
	if err != nil {
		return b, nil, Change{}, errors.Trace(err)
	}
	if !changed {
		return b, data, Change{}, nil
	}
	next.Revision++
	if !next.checkMembership() {
		return b, data, Change{}, errors.Trace(ErrInconsistent)
	}
	board := next.Board
	return &board, data, changeBetween(b, next), nil
}

// ApplyAll returns the board after commands that have each changed a board before,
// as the log keeps them for those that follow it. It ends where Apply one by one
// ends, but copies each table once.
//
// Load: entries get the changes of some tenths of a second at once; with a copy for
// each command the copies are most of the cost (BenchmarkFollow).
func (b *Board) ApplyAll(commands [][]byte) (*Board, error) {
	if len(commands) == 0 {
		return b, nil
	}
	next := b.draft()
	for _, encoded := range commands {
		command, err := decodeCommand(encoded)
		if err != nil {
			return b, errors.Trace(err)
		}
		if _, changed := command.apply(next); changed {
			next.Revision++
		}
	}
	if !next.checkMembership() {
		return b, errors.Trace(ErrInconsistent)
	}
	board := next.Board
	return &board, nil
}

func (b *Board) recordOutcome(id string, outcome ChangeOutcome) {
	changes := cloneMap(b.Changes)
	changes[id] = outcome
	order := append(append([]string(nil), b.ChangeOrder...), id)
	for len(order) > maxRememberedChanges {
		delete(changes, order[0])
		order = order[1:]
	}
	b.Changes, b.ChangeOrder = changes, order
}

// ErrMalformed is returned for bytes that are no command or snapshot.
const ErrMalformed = errors.ConstError("malformed blackboard data")

// ErrInconsistent is returned for a command that would break an invariant;
// the board stays as it was.
const ErrInconsistent = errors.ConstError("command would break an invariant of the blackboard")
