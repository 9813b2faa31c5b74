package replica

import (
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/raft"
	"github.com/citronstep/citronstep/internal/rpc/raftrpc"
)

func toWire(m raft.Message) (*raftrpc.Message, error) {
	w := &raftrpc.Message{
		Type:    uint32(m.Type),
		Group:   uint64(m.Group),
		From:    uint64(m.From),
		To:      uint64(m.To),
		Term:    m.Term,
		Index:   m.Index,
		LogTerm: m.LogTerm,
		Commit:  m.Commit,
		Reject:  m.Reject,
		Hint:    m.ConflictHint,
		Forced:  m.Forced,
		SentAt:  int64(m.SentAt),
		Round:   m.Round,
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, &raftrpc.Entry{Term: e.Term, Index: e.Index, Type: uint32(e.Type), Data: e.Data})
	}
	if m.Snapshot == nil {
		return w, nil
	}
	membership, err := raft.EncodeMembership(m.Snapshot.Membership)
	if err != nil {
		return nil, errors.Trace(err)
	}
	w.Snapshot = &raftrpc.Snapshot{
		Index: m.Snapshot.Index, Term: m.Snapshot.Term, Membership: membership, Data: m.Snapshot.Data,
	}
	return w, nil
}

func fromWire(w *raftrpc.Message) (raft.Message, error) {
	m := raft.Message{
		Type:         raft.MessageType(w.Type),
		Group:        raft.GroupID(w.Group),
		From:         raft.NodeID(w.From),
		To:           raft.NodeID(w.To),
		Term:         w.Term,
		Index:        w.Index,
		LogTerm:      w.LogTerm,
		Commit:       w.Commit,
		Reject:       w.Reject,
		ConflictHint: w.Hint,
		Forced:       w.Forced,
		SentAt:       time.Duration(w.SentAt),
		Round:        w.Round,
	}
	for _, e := range w.Entries {
		m.Entries = append(m.Entries, raft.Entry{Term: e.Term, Index: e.Index, Type: raft.EntryType(e.Type), Data: e.Data})
	}
	if w.Snapshot == nil {
		return m, nil
	}
	membership, err := raft.DecodeMembership(w.Snapshot.Membership)
	if err != nil {
		return raft.Message{}, errors.Trace(err)
	}
	m.Snapshot = &raft.Snapshot{
		Index: w.Snapshot.Index, Term: w.Snapshot.Term, Membership: membership, Data: w.Snapshot.Data,
	}
	return m, nil
}

// wireSize returns the approximate size of a message on the wire, in bytes.
func wireSize(m raft.Message) int {
	const header = 64
	size := header
	for _, e := range m.Entries {
		size += len(e.Data) + header/2
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}
