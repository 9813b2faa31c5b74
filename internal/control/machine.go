// Package control is the control role: it keeps the replicated tables, serves
// them to entries and operators, and runs the controllers while it leads.
package control

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"sync"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/record"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// maxRecentChanges bounds the changes kept for entries that are behind. An
// entry further behind gets a snapshot. At 3,100 configuration changes and
// some ten thousand liveness and group changes a day it covers hours.
const maxRecentChanges = 4096

// maxPatches bounds the patches kept for the next entry that asks for the same:
// entries are answered within some tenths of a second of each other.
const maxPatches = 64

// Machine is the replicated state machine: the board, and the at-most-once
// records. Entries follow the board alone.
type Machine struct {
	mu      sync.Mutex
	board   *blackboard.Board
	records *record.Table
	// kept holds what the last len(kept) revisions changed.
	recentChanges []blackboard.Change
	// patches holds patches to the present board, by the revision that they begin at.
	patches map[uint64][]byte
	// news is the last revision that concerns entries, and changed closes with the next.
	lastEntryChange uint64
	changed         chan struct{}
	// encoded is the board of revision encodedAt as a snapshot.
	entrySnapshot    []byte
	snapshotRevision uint64
	// encodings counts the snapshots made for entries.
	snapshotCount int
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
	next, result, change, err := m.board.ApplyChange(command)
	if err != nil {
		return notApplied(err)
	}
	if next == m.board {
		return result
	}
	m.recordChange(change)
	m.board = next
	if change.Concerns() {
		m.notifyWatchers()
	}
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

// keep notes what one more revision has changed.
func (m *Machine) recordChange(change blackboard.Change) {
	m.recentChanges = append(m.recentChanges, change)
	if len(m.recentChanges) > 2*maxRecentChanges {
		m.recentChanges = slices.Clone(m.recentChanges[len(m.recentChanges)-maxRecentChanges:])
	}
	m.patches = nil
}

// Board returns the board as applied here.
func (m *Machine) Board() *blackboard.Board {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.board
}

// News tells whether there is anything for an entry that has a revision, and returns a
// channel that closes with the next.
//
// Load: a pool of 3,000 VMs starts; each VM's row changes three times within seconds, and
// 295 entries watch. None of these rows is in their copies; answered for each change all
// the same, they took a third of the leader's processor from the orders to the VMs.
func (m *Machine) News(have uint64) (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return have < m.lastEntryChange || have > m.board.Revision, m.changed
}

// notifyWatchers notes that the present revision concerns entries. The lock is held.
func (m *Machine) notifyWatchers() {
	m.lastEntryChange = m.board.Revision
	close(m.changed)
	m.changed = make(chan struct{})
}

// maxSnapshotLag is how many revisions a snapshot for entries is used, with a patch for what has
// changed since.
const maxSnapshotLag = 256

// Encoded returns the board for an entry that holds none: a snapshot and, if that is not of
// the present revision, the command that takes it there.
//
// Load: half of a thousand entries come back from a loss of power within a second, while each
// word of the backend servers makes a new revision. Made anew for each revision, the
// snapshots took the new leader's whole processor, and it lost its leadership.
func (m *Machine) Encoded() (snapshot []byte, commands [][]byte, board *blackboard.Board, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	behind := m.board.Revision - m.snapshotRevision
	if m.entrySnapshot == nil || m.snapshotRevision > m.board.Revision || behind > maxSnapshotLag || behind > uint64(len(m.recentChanges)) {
		data, err := m.board.EncodeForEntries()
		if err != nil {
			return nil, nil, nil, errors.Trace(err)
		}
		m.entrySnapshot, m.snapshotRevision = data, m.board.Revision
		m.snapshotCount++
		return m.entrySnapshot, nil, m.board, nil
	}
	if behind == 0 {
		return m.entrySnapshot, nil, m.board, nil
	}
	patch, err := m.patchSince(m.snapshotRevision)
	if err != nil {
		return nil, nil, nil, errors.Trace(err)
	}
	return m.entrySnapshot, [][]byte{patch}, m.board, nil
}

// PatchSince returns the command that takes an entry's copy from a revision to the
// present board, nil if it is there, or false when what has changed since is no longer
// known.
func (m *Machine) PatchSince(revision uint64) (*blackboard.Board, []byte, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	behind := m.board.Revision - revision
	if revision > m.board.Revision || behind > uint64(len(m.recentChanges)) {
		return m.board, nil, false, nil
	}
	if behind == 0 {
		return m.board, nil, true, nil
	}
	patch, err := m.patchSince(revision)
	if err != nil {
		return nil, nil, false, errors.Trace(err)
	}
	return m.board, patch, true, nil
}

// patchSince returns the command that takes an entry's copy from a revision, which must be
// among those kept, to the present board. The lock is held.
func (m *Machine) patchSince(revision uint64) ([]byte, error) {
	if patch, known := m.patches[revision]; known {
		return patch, nil
	}
	behind := m.board.Revision - revision
	patch, err := m.board.PatchFor(m.recentChanges[uint64(len(m.recentChanges))-behind:])
	if err != nil {
		return nil, errors.Trace(err)
	}
	if m.patches == nil || len(m.patches) >= maxPatches {
		m.patches = make(map[uint64][]byte)
	}
	m.patches[revision] = patch
	return patch, nil
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
	board, err := blackboard.DecodeWhole(rest[:size])
	if err != nil {
		return errors.Trace(err)
	}
	records, err := record.Decode(rest[size:])
	if err != nil {
		return errors.Trace(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.board, m.records, m.recentChanges, m.patches, m.entrySnapshot = board, records, nil, nil, nil
	m.notifyWatchers()
	return nil
}
