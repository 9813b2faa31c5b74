// Package blackboard holds the replicated tables that controllers and entries share, and the
// typed commands that change the tables.
//
// The doc comment of each table's type names its writers and readers. The consensus log delivers
// commands in one order. Commands use no clock, randomness or I/O, so all replicas and entries
// that apply the same commands hold the same Board. A published Board is immutable: applying a
// command copies the tables that the command changes, see draft.
package blackboard

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Board is one revision of all tables.
type Board struct {
	// Revision grows by one with each command that changes the board.
	Revision uint64 `json:"revision"`
	// ClusterID is set by the first command and never changes.
	ClusterID string                     `json:"cluster_id"`
	Config    Configuration              `json:"config"`
	VMs       map[string]VM              `json:"vms"`
	Groups    map[string]Group           `json:"groups"`
	Services  map[string]ServiceInstance `json:"services"`
	Entries   map[string]Entry           `json:"entries"`
	Suspects  map[string]Suspect         `json:"suspects"`
	// Quarantines are keyed by pool: a model or a plain service.
	Quarantines map[string]Quarantine `json:"quarantines"`
	// CallerTimeouts maps a route to the timeout of its callers' first attempts, in milliseconds.
	CallerTimeouts map[string]int64 `json:"waits,omitempty"`
	// RateLimits are the limits that backend servers state, keyed by incarnation.
	RateLimits map[string]RateLimit `json:"rate_limits,omitempty"`
	// Evacuations are keyed by data centre, ColdServers by incarnation.
	Evacuations map[string]Evacuation `json:"evacuations,omitempty"`
	ColdServers map[string]ColdServer `json:"cold_servers,omitempty"`
	// Demand is the observed demand by model. Entry copies do not contain it, and its changes make
	// no revision.
	Demand map[string]ModelDemand `json:"demand,omitempty"`
	// FirstRequestMillis is the time of the first request of any caller, by the clock of the entry
	// that received it. It is 0 before the first request.
	FirstRequestMillis int64 `json:"callers_ms,omitempty"`
	// TermBase is added to the consensus term in fencing tokens. Found sets TermBase and the
	// first epoch from the clock. If all control disks are lost and the cluster is founded
	// again, engines therefore accept its orders as newer than those of the previous cluster.
	TermBase uint64 `json:"term_base"`
	// NextEpoch is the epoch that the next forming group receives.
	NextEpoch uint64 `json:"next_epoch"`
	// Changes keeps the outcomes of recent configuration changes by change ID. ChangeOrder lists
	// the IDs from oldest to newest.
	Changes     map[string]ChangeOutcome `json:"changes"`
	ChangeOrder []string                 `json:"change_order"`
}

// New returns an empty board at revision 0.
func New() *Board {
	b := &Board{NextEpoch: 1}
	b.initTables()
	return b
}

// initTables replaces nil tables with empty ones. A snapshot may omit tables.
func (b *Board) initTables() {
	b.Config = b.Config.clone()
	b.VMs = orEmpty(b.VMs)
	b.Groups = orEmpty(b.Groups)
	b.Services = orEmpty(b.Services)
	b.Entries = orEmpty(b.Entries)
	b.Suspects = orEmpty(b.Suspects)
	b.Quarantines = orEmpty(b.Quarantines)
	b.CallerTimeouts = orEmpty(b.CallerTimeouts)
	b.RateLimits = orEmpty(b.RateLimits)
	b.Evacuations = orEmpty(b.Evacuations)
	b.ColdServers = orEmpty(b.ColdServers)
	b.Demand = orEmpty(b.Demand)
	b.Changes = orEmpty(b.Changes)
}

func orEmpty[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return m
}

// Encode returns the board as a compressed snapshot.
func (b *Board) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err = compress(data)
	return data, errors.Trace(err)
}

// Decode returns the board of a complete snapshot or of an entry copy. It accepts compressed and
// plain JSON. For other data it returns ErrMalformed.
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

// DecodeComplete returns the board of a complete snapshot. It returns ErrInconsistent if the
// snapshot breaks an invariant, which an entry copy may do because it omits VMs.
func DecodeComplete(snapshot []byte) (*Board, error) {
	b, err := Decode(snapshot)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !b.checkMembership() {
		return nil, errors.Annotate(ErrInconsistent, "blackboard snapshot")
	}
	return b, nil
}

// Apply returns the board after one command, and the command's result as JSON. If the command is
// refused or changes nothing, Apply returns b itself.
func (b *Board) Apply(encoded []byte) (*Board, []byte, error) {
	next, result, _, err := b.ApplyChange(encoded)
	return next, result, err
}

// ApplyChange is Apply, and also returns the rows of entry copies that the command changed.
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
	if !next.keepsRevision {
		next.Revision++
	}
	if !next.checkMembership() {
		return b, data, Change{}, errors.Trace(ErrInconsistent)
	}
	board := next.Board
	return &board, data, changeBetween(b, next), nil
}

// ApplyAll returns the board after a sequence of commands, each of which changed the board when
// the leader applied it. The result equals that of calling Apply for each command, but ApplyAll
// copies the VM and group tables at most once.
//
// An entry receives the changes of several tenths of a second together. Copying the tables for
// each command would dominate the cost (BenchmarkFollow).
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

// recordOutcome stores the outcome of a configuration change, and drops the oldest outcomes
// beyond maxRememberedChanges.
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

// ErrMalformed is returned for data that is neither a command nor a snapshot.
const ErrMalformed = errors.ConstError("malformed blackboard data")

// ErrInconsistent is returned for a command that would break an invariant. The board stays
// unchanged.
const ErrInconsistent = errors.ConstError("command would break an invariant of the blackboard")
