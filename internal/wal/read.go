package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/juju/errors"
	bolt "go.etcd.io/bbolt"

	"github.com/citronstep/citronstep/internal/raft"
)

// readAll reads and checks the complete file. Every checksum must match, the log must
// have no gap and no decreasing term, and it must reach the commit index.
func (w *WAL) readAll(tx *bolt.Tx) error {
	meta := tx.Bucket(bucketMeta)
	if meta == nil || tx.Bucket(bucketEntries) == nil {
		return w.corruptError("file", "a bucket is missing")
	}
	if !bytes.Equal(meta.Get(keyFormat), formatVersion1) {
		return w.corruptError("format", "the version is not supported by this program")
	}
	var s raft.PersistedState
	readers := []func() error{
		func() error { return readRecord(w, meta, keyIdentity, true, decodeIdentity, &w.identity) },
		func() error { return readRecord(w, meta, keyHardState, false, decodeHardState, &s.HardState) },
		func() error { return readRecord(w, meta, keyBase, false, decodePosition, &s.Base) },
		func() error { return readRecord(w, meta, keySnapshot, false, decodeSnapshot, &s.Snapshot) },
		func() error { return w.readEntries(tx.Bucket(bucketEntries), &s) },
	}
	for _, read := range readers {
		if err := read(); err != nil {
			return errors.Trace(err)
		}
	}
	last := s.Base.Index + uint64(len(s.Entries))
	if s.HardState.Commit > last || s.Snapshot.Index > last {
		return w.corruptError("entries", fmt.Sprintf("the log ends at index %d, before the commit index %d or the snapshot index %d",
			last, s.HardState.Commit, s.Snapshot.Index))
	}
	w.saved = s
	return nil
}

// readRecord reads and decodes the record under key. It leaves into unchanged if an
// optional record is absent.
func readRecord[T any](w *WAL, b *bolt.Bucket, key []byte, required bool,
	decode func([]byte) (T, bool), into *T) error {
	record := b.Get(key)
	if record == nil {
		if required {
			return w.corruptError(string(key), "the record is missing")
		}
		return nil
	}
	body, ok := verifyRecord(key, record)
	if !ok {
		return w.corruptError(string(key), "the checksum does not match")
	}
	value, ok := decode(body)
	if !ok {
		return w.corruptError(string(key), "the record cannot be decoded")
	}
	*into = value
	return nil
}

// readEntries reads all log entries into s and checks them.
func (w *WAL) readEntries(b *bolt.Bucket, s *raft.PersistedState) error {
	next := s.Base.Index + 1
	term := s.Base.Term
	cursor := b.Cursor()
	for key, record := cursor.First(); key != nil; key, record = cursor.Next() {
		name := fmt.Sprintf("entry %d", next)
		if len(key) != 8 || binary.BigEndian.Uint64(key) != next {
			return w.corruptError(name, "the record is missing")
		}
		body, ok := verifyRecord(key, record)
		if !ok {
			return w.corruptError(name, "the checksum does not match")
		}
		e, ok := decodeEntry(next, body)
		if !ok || e.Term < term {
			return w.corruptError(name, "the record cannot be decoded or its term decreases")
		}
		s.Entries = append(s.Entries, e)
		term = e.Term
		next++
	}
	return nil
}

// appendEntries writes entries. It first deletes all stored entries from the index of
// the first one on.
func appendEntries(tx *bolt.Tx, entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteFrom(tx, entries[0].Index); err != nil {
		return errors.Trace(err)
	}
	b := tx.Bucket(bucketEntries)
	// Entries are only appended at the end, so full pages save space.
	b.FillPercent = 1
	for _, e := range entries {
		if err := putRecord(b, entryKey(e.Index), encodeEntry(e)); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// deleteFrom deletes the entries from index on.
func deleteFrom(tx *bolt.Tx, index uint64) error {
	cursor := tx.Bucket(bucketEntries).Cursor()
	for key, _ := cursor.Seek(entryKey(index)); key != nil; key, _ = cursor.Seek(entryKey(index)) {
		if err := cursor.Delete(); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// deleteThrough deletes the entries up to and including index.
func deleteThrough(tx *bolt.Tx, index uint64) error {
	cursor := tx.Bucket(bucketEntries).Cursor()
	for key, _ := cursor.First(); key != nil; key, _ = cursor.First() {
		if binary.BigEndian.Uint64(key) > index {
			return nil
		}
		if err := cursor.Delete(); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
