package wal

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	bolt "go.etcd.io/bbolt"

	"github.com/citronstep/citronstep/internal/raft"
)

// checksumSize is the size in bytes of the checksum at the start of a record. The
// checksum is the xxHash-64 of the key and the body. It includes the key so that a
// record stored under the wrong key fails the check.
const checksumSize = 8

func checksum(key, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(key)
	_, _ = d.Write(body)
	return d.Sum64()
}

func putRecord(b *bolt.Bucket, key, body []byte) error {
	record := make([]byte, checksumSize, checksumSize+len(body))
	binary.BigEndian.PutUint64(record, checksum(key, body))
	return errors.Trace(b.Put(key, append(record, body...)))
}

// verifyRecord returns the body of a record. It returns false if the checksum does not
// match.
func verifyRecord(key, record []byte) ([]byte, bool) {
	if len(record) < checksumSize {
		return nil, false
	}
	body := record[checksumSize:]
	return body, binary.BigEndian.Uint64(record) == checksum(key, body)
}

func entryKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

const entryHeaderSize = 9

func encodeEntry(e raft.Entry) []byte {
	body := make([]byte, 0, entryHeaderSize+len(e.Data))
	body = binary.BigEndian.AppendUint64(body, e.Term)
	body = append(body, byte(e.Type))
	return append(body, e.Data...)
}

func decodeEntry(index uint64, body []byte) (raft.Entry, bool) {
	if len(body) < entryHeaderSize {
		return raft.Entry{}, false
	}
	e := raft.Entry{Index: index, Term: binary.BigEndian.Uint64(body), Type: raft.EntryType(body[8])}
	if len(body) > entryHeaderSize {
		e.Data = append([]byte(nil), body[entryHeaderSize:]...)
	}
	return e, true
}

const hardStateSize = 24

func encodeHardState(h raft.HardState) []byte {
	body := binary.BigEndian.AppendUint64(nil, h.Term)
	body = binary.BigEndian.AppendUint64(body, uint64(h.Vote))
	return binary.BigEndian.AppendUint64(body, h.Commit)
}

func decodeHardState(body []byte) (raft.HardState, bool) {
	if len(body) != hardStateSize {
		return raft.HardState{}, false
	}
	return raft.HardState{
		Term:   binary.BigEndian.Uint64(body),
		Vote:   raft.NodeID(binary.BigEndian.Uint64(body[8:])),
		Commit: binary.BigEndian.Uint64(body[16:]),
	}, true
}

const positionSize = 16

func encodePosition(p raft.Position) []byte {
	body := binary.BigEndian.AppendUint64(nil, p.Index)
	return binary.BigEndian.AppendUint64(body, p.Term)
}

func decodePosition(body []byte) (raft.Position, bool) {
	if len(body) != positionSize {
		return raft.Position{}, false
	}
	return raft.Position{Index: binary.BigEndian.Uint64(body), Term: binary.BigEndian.Uint64(body[8:])}, true
}

const identitySize = 17

func encodeIdentity(id Identity) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(id.Node))
	body = binary.BigEndian.AppendUint64(body, id.Cluster)
	if id.Removed {
		return append(body, 1)
	}
	return append(body, 0)
}

func decodeIdentity(body []byte) (Identity, bool) {
	if len(body) != identitySize {
		return Identity{}, false
	}
	return Identity{
		Node:    raft.NodeID(binary.BigEndian.Uint64(body)),
		Cluster: binary.BigEndian.Uint64(body[8:]),
		Removed: body[16] == 1,
	}, true
}

// snapshotHeader is the JSON header of a stored snapshot. The state machine's bytes
// follow it.
type snapshotHeader struct {
	Index      uint64          `json:"index"`
	Term       uint64          `json:"term"`
	Membership raft.Membership `json:"membership"`
}

const headerLengthSize = 4

func encodeSnapshot(s raft.Snapshot) ([]byte, error) {
	header, err := json.Marshal(snapshotHeader{Index: s.Index, Term: s.Term, Membership: s.Membership})
	if err != nil {
		return nil, errors.Trace(err)
	}
	body := binary.BigEndian.AppendUint32(nil, uint32(len(header)))
	body = append(body, header...)
	return append(body, s.Data...), nil
}

func decodeSnapshot(body []byte) (raft.Snapshot, bool) {
	if len(body) < headerLengthSize {
		return raft.Snapshot{}, false
	}
	length := int(binary.BigEndian.Uint32(body))
	rest := body[headerLengthSize:]
	if length > len(rest) {
		return raft.Snapshot{}, false
	}
	var h snapshotHeader
	if err := json.Unmarshal(rest[:length], &h); err != nil {
		return raft.Snapshot{}, false
	}
	data := append([]byte(nil), rest[length:]...)
	return raft.Snapshot{Index: h.Index, Term: h.Term, Membership: h.Membership, Data: data}, true
}

// corruptError returns a CorruptError for a part of the file.
func (w *WAL) corruptError(record, cause string) error {
	return &CorruptError{File: w.path, Record: record, Cause: cause}
}

// catchCorruption runs f and converts a panic in bbolt into a CorruptError. bbolt
// panics on a damaged page. Because the file is memory-mapped, a truncated file causes
// a memory fault. Either would otherwise end the process without advice for the
// operator.
func (w *WAL) catchCorruption(record string, f func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(old)
	defer func() {
		if cause := recover(); cause != nil {
			err = w.corruptError(record, fmt.Sprint(cause))
		}
	}()
	return f()
}
