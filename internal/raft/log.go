package raft

import (
	"github.com/citronstep/citronstep/internal/invariant"
)

// raftLog is the in-memory part of the log: all entries since the last compaction.
type raftLog struct {
	snapshot Snapshot
	// base is the position just before entries[0]. It is at or below the snapshot
	// so that a follower slightly behind can catch up from entries.
	base    Position
	entries []Entry
	// stable is the last index that is synced to disk.
	stable    uint64
	committed uint64
	applied   uint64
}

func (l *raftLog) lastIndex() uint64 { return l.base.Index + uint64(len(l.entries)) }

// last returns the position of the last entry, or base if there are no entries.
func (l *raftLog) last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	e := l.entries[len(l.entries)-1]
	return Position{Index: e.Index, Term: e.Term}
}

// term returns the term of the entry at index. It returns false if the log does
// not hold the entry.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// matches reports whether the log has an entry with p's index and term.
func (l *raftLog) matches(p Position) bool {
	term, ok := l.term(p.Index)
	return ok && term == p.Term
}

// entriesAfter returns the entries that follow index. Their data is at most maxBytes in
// total, except that a first entry of any size is included.
func (l *raftLog) entriesAfter(index uint64, maxBytes int) []Entry {
	if index >= l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.base.Index:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// entriesBetween returns the entries in (from, to].
func (l *raftLog) entriesBetween(from, to uint64) []Entry {
	if to <= from {
		return nil
	}
	low := from - l.base.Index
	high := to - l.base.Index
	return l.entries[low:high:high]
}

// merge appends the entries that the log lacks and drops local entries that
// conflict with them. It returns false if a conflict is at a committed index.
func (l *raftLog) merge(entries []Entry) bool {
	for i, e := range entries {
		if e.Index <= l.base.Index || l.matches(Position{Index: e.Index, Term: e.Term}) {
			continue
		}
		if !invariant.Check(e.Index > l.committed, "committed entries never change",
			"entry %d of term %d against commit %d", e.Index, e.Term, l.committed) {
			return false
		}
		l.truncate(e.Index - 1)
		l.entries = append(l.entries, entries[i:]...)
		return true
	}
	return true
}

// truncate drops the entries after index. The next append copies the remaining
// entries, because messages in flight may share their memory.
func (l *raftLog) truncate(index uint64) {
	if index >= l.lastIndex() {
		return
	}
	keep := index - l.base.Index
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index)
}

// commitTo raises the commit index. It returns false if index is beyond the log.
func (l *raftLog) commitTo(index uint64) bool {
	if index <= l.committed {
		return true
	}
	if !invariant.Check(index <= l.lastIndex(), "commit within the log",
		"commit %d past the last index %d", index, l.lastIndex()) {
		return false
	}
	l.committed = index
	return true
}

// restore replaces the complete log with a snapshot.
func (l *raftLog) restore(s Snapshot) {
	l.snapshot = s
	l.base = Position{Index: s.Index, Term: s.Term}
	l.entries = nil
	l.stable = s.Index
	l.committed = s.Index
	l.applied = s.Index
}

// compact drops the entries up to and including index.
func (l *raftLog) compact(index uint64) {
	if index <= l.base.Index {
		return
	}
	term, ok := l.term(index)
	if !ok {
		return
	}
	kept := l.entries[index-l.base.Index:]
	l.entries = append([]Entry(nil), kept...)
	l.base = Position{Index: index, Term: term}
}

// conflictHint returns the highest index at or below p.Index whose term is at most
// p.Term. No index between the result and p.Index can match, so the leader need
// not try one.
func (l *raftLog) conflictHint(p Position) uint64 {
	index := min(p.Index, l.lastIndex())
	for index > l.base.Index {
		term, _ := l.term(index)
		if term <= p.Term {
			return index
		}
		index--
	}
	return index
}
