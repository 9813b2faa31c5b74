// Package control is the control role: it keeps the replicated tables, serves
// them to entries and operators, and runs the controllers while it leads.
package control

import (
	"encoding/binary"
	"encoding/json"
	"sync"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/record"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// maxKeptCommands bounds the commands kept for entries that are behind. An
// entry further behind gets a snapshot. At 3,100 configuration changes and
// some ten thousand liveness and group changes a day it covers hours.
const maxKeptCommands = 4096

// Machine is the replicated state machine: the board, and the at-most-once
// records. Only the board's commands are kept for entries, so that records do
// not travel to every entry.
type Machine struct {
	mu      sync.Mutex
	board   *blackboard.Board
	records *record.Table
	// kept holds the commands that take entries to the last len(kept) revisions.
	kept    [][]byte
	changed chan struct{}
	// encoded is the board of revision encodedAt as a snapshot.
	encoded   []byte
	encodedAt uint64
}

// NewMachine returns an empty machine.
func NewMachine() *Machine {
	return &Machine{
		board:   blackboard.New(),
		records: record.NewTable(),
		changed: make(chan struct{}),
	}
}

// Wrap returns a log command for one of the machines.
func Wrap(machine noderpc.Machine, command []byte) []byte {
	return append([]byte{byte(machine)}, command...)
}

// Apply applies one log command. A malformed one changes nothing, on every
// replica alike.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	if len(command) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if noderpc.Machine(command[0]) == noderpc.Machine_MACHINE_RECORDS {
		return m.records.Apply(command[1:])
	}
	return m.applyBoard(command[1:])
}

func (m *Machine) applyBoard(command []byte) []byte {
	next, result, err := m.board.Apply(command)
	if err != nil {
		return notApplied(err)
	}
	if next == m.board {
		return result
	}
	m.keep(m.board, next, command)
	m.board = next
	close(m.changed)
	m.changed = make(chan struct{})
	return result
}

// notApplied is the result of a command that could not be applied, in the form
// of each kind of result.
func notApplied(err error) []byte {
	result, _ := json.Marshal(struct {
		blackboard.Verdict
		Failure *failure.Error `json:"failure"`
	}{blackboard.Verdict{Reason: err.Error()}, failure.New(failure.TypeInternal, err.Error())})
	return result
}

// keep notes how entries get from one board to the next.
func (m *Machine) keep(before, after *blackboard.Board, command []byte) {
	m.kept = append(m.kept, blackboard.ForEntries(before, after, command))
	if len(m.kept) > 2*maxKeptCommands {
		m.kept = append([][]byte(nil), m.kept[len(m.kept)-maxKeptCommands:]...)
	}
}

// Board returns the board as applied here, and a channel that closes when a
// newer one is applied.
func (m *Machine) Board() (*blackboard.Board, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.board, m.changed
}

// Encoded returns the board as a snapshot for entries. It is made once for each revision,
// as all entries ask for it at once after a restart of all.
func (m *Machine) Encoded() ([]byte, *blackboard.Board, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.encoded == nil || m.encodedAt != m.board.Revision {
		data, err := m.board.EncodeForEntries()
		if err != nil {
			return nil, nil, errors.Trace(err)
		}
		m.encoded, m.encodedAt = data, m.board.Revision
	}
	return m.encoded, m.board, nil
}

// Since returns the commands that lead from a revision to the present board,
// or false when they are no longer kept.
func (m *Machine) Since(revision uint64) (*blackboard.Board, [][]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	behind := m.board.Revision - revision
	if revision > m.board.Revision || behind > uint64(len(m.kept)) {
		return m.board, nil, false
	}
	return m.board, m.kept[uint64(len(m.kept))-behind:], true
}

// Snapshot returns both machines: the length of the board's part, then the
// board, then the records.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	board, err := m.board.Encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	records, err := m.records.Encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(len(board)))
	data = append(data, board...)
	return append(data, records...), nil
}

const snapshotHeader = 8

// Restore replaces both machines by a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	if len(snapshot) < snapshotHeader {
		return errors.Trace(blackboard.ErrMalformed)
	}
	size := binary.BigEndian.Uint64(snapshot)
	rest := snapshot[snapshotHeader:]
	if size > uint64(len(rest)) {
		return errors.Trace(blackboard.ErrMalformed)
	}
	board, err := blackboard.Decode(rest[:size])
	if err != nil {
		return errors.Trace(err)
	}
	records, err := record.Decode(rest[size:])
	if err != nil {
		return errors.Trace(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.board, m.records, m.kept = board, records, nil
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}
