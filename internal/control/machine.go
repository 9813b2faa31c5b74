// Package control implements the control role. It keeps the replicated tables, serves them to
// entries and operators, and runs the controllers while it leads.
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

// maxRecentChanges bounds the changes kept for entries that are behind. An entry that is
// further behind gets a snapshot. At 3,100 configuration changes and some ten thousand liveness
// and group changes a day, the bound covers hours.
const maxRecentChanges = 4096

// maxPatches bounds the patches cached for entries that ask for the same one. Entries get their
// replies within some tenths of a second of each other.
const maxPatches = 64

// Machine is the replicated state machine: the board and the at-most-once records. Entries
// follow only the board.
type Machine struct {
	mu      sync.Mutex
	board   *blackboard.Board
	records *record.Table
	// recentChanges holds the changes of the last len(recentChanges) revisions.
	recentChanges []blackboard.Change
	// patches caches patches to the current board, keyed by the revision that they start from.
	patches map[uint64][]byte
	// lastEntryChange is the last revision that concerns entries. changed closes with the next
	// one.
	lastEntryChange uint64
	changed         chan struct{}
	// entrySnapshot is the board at snapshotRevision, encoded for entries.
	entrySnapshot    []byte
	snapshotRevision uint64
	// snapshotCount counts the snapshots encoded for entries.
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

// LogCommand returns a log command for one of the machines.
func LogCommand(machine noderpc.Machine, command []byte) []byte {
	return append([]byte{byte(machine)}, command...)
}

// Apply applies one log command. A malformed command changes nothing on any replica.
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
	if next.Revision == m.board.Revision {
		m.board = next
		return result
	}
	m.recordChange(change)
	m.board = next
	if change.AffectsEntries() {
		m.notifyWatchers()
	}
	return result
}

// notApplied returns the result of a command that could not be applied. The result decodes as
// any kind of result.
func notApplied(err error) []byte {
	result, _ := json.Marshal(struct {
		blackboard.Verdict
		Failure *failure.Error `json:"failure"`
	}{blackboard.Verdict{Reason: err.Error()}, failure.New(failure.TypeInternal, err.Error())})
	return result
}

// recordChange keeps the change of the newest revision.
func (m *Machine) recordChange(change blackboard.Change) {
	m.recentChanges = append(m.recentChanges, change)
	if len(m.recentChanges) > 2*maxRecentChanges {
		m.recentChanges = slices.Clone(m.recentChanges[len(m.recentChanges)-maxRecentChanges:])
	}
	m.patches = nil
}

// Board returns the newest board that this process has applied.
func (m *Machine) Board() *blackboard.Board {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.board
}

// NeedsUpdate reports whether an entry at revision have needs an update, and returns a channel that
// closes with the next change that concerns entries.
//
// Load: a pool of 3,000 VMs starts. The row of each VM changes three times within seconds while
// 295 entries watch. Entries hold none of these rows. Replies for every such change took a
// third of the leader's processor from the orders to the VMs.
func (m *Machine) NeedsUpdate(have uint64) (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return have < m.lastEntryChange || have > m.board.Revision, m.changed
}

// notifyWatchers records that the current revision concerns entries, and wakes their watches.
// The lock is held.
func (m *Machine) notifyWatchers() {
	m.lastEntryChange = m.board.Revision
	close(m.changed)
	m.changed = make(chan struct{})
}

// maxSnapshotLag is how many revisions a cached snapshot may be behind the board. A patch
// covers the difference.
const maxSnapshotLag = 256

// EntrySnapshot returns the board for an entry that holds none: a snapshot and, if the snapshot is
// older than the current revision, the command that brings it up to date.
//
// Load: half of a thousand entries restart within one second after a power loss, while each
// announcement of a backend server makes a new revision. Encoding a snapshot for each revision
// took the new leader's whole processor, and the leader lost its leadership.
func (m *Machine) EntrySnapshot() (snapshot []byte, commands [][]byte, board *blackboard.Board, err error) {
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

// PatchSince returns the current board and the command that brings an entry's copy from
// revision to it. The command is nil if the copy is up to date. The boolean is false if the
// changes since revision are no longer kept.
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

// patchSince returns the command that brings an entry's copy from revision to the current
// board. The changes since revision must still be kept. The lock is held.
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

// Snapshot encodes both machines: the length of the board's part, the board, and the records.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	board, err := m.board.Encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	records, err := m.records.EncodeSnapshot()
	if err != nil {
		return nil, errors.Trace(err)
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(len(board)))
	data = append(data, board...)
	return append(data, records...), nil
}

const snapshotHeader = 8

// Restore replaces both machines with the content of a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	if len(snapshot) < snapshotHeader {
		return errors.Trace(blackboard.ErrMalformed)
	}
	size := binary.BigEndian.Uint64(snapshot)
	rest := snapshot[snapshotHeader:]
	if size > uint64(len(rest)) {
		return errors.Trace(blackboard.ErrMalformed)
	}
	board, err := blackboard.DecodeComplete(rest[:size])
	if err != nil {
		return errors.Trace(err)
	}
	records, err := record.DecodeSnapshot(rest[size:])
	if err != nil {
		return errors.Trace(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.board, m.records, m.recentChanges, m.patches, m.entrySnapshot = board, records, nil, nil, nil
	m.notifyWatchers()
	return nil
}
