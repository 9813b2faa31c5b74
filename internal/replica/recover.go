package replica

import (
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/raft"
	"github.com/citronstep/citronstep/internal/wal"
)

// ErrNothingToRecover means that the data folder never belonged to a cluster.
const ErrNothingToRecover = errors.ConstError("the data folder holds no cluster's state")

// RecoveryResult describes the content of a survivor's data folder.
type RecoveryResult struct {
	// OldCluster and NewCluster are the cluster ids before and after the recovery.
	OldCluster uint64
	NewCluster uint64
	// LastIndex is the last entry that was kept. CommitIndex is the last entry that the
	// survivor knew to be committed.
	LastIndex   uint64
	CommitIndex uint64
}

// Recover turns the state in a stopped node's data folder into the start of a new cluster, with
// this node as its only voter. It is an operator's last resort after a majority of the voters
// has lost their disks permanently.
//
// Acknowledged writes that were only on the lost disks are lost, and writes whose outcome was
// unknown may take effect. The cluster and the node get new ids. So a replica of the old
// cluster that returns later is refused and can't mix its log into the new one; its data folder
// must be emptied before it can join. If there are several survivors, the operator must choose
// the one with the highest term, then the highest last index, as reported by Status and
// RecoveryResult.
func Recover(opts Options) (RecoveryResult, error) {
	opts = opts.withDefaults()
	store, err := wal.Open(opts.Folder, nil)
	if err != nil {
		return RecoveryResult{}, errors.Trace(err)
	}
	recovered, err := recoverStore(opts, store)
	closeErr := store.Close()
	return recovered, errors.Trace(firstError(err, closeErr))
}

func recoverStore(opts Options, store *wal.WAL) (RecoveryResult, error) {
	old := store.Identity()
	saved := store.LoadedState()
	last := saved.Base
	if k := len(saved.Entries); k > 0 {
		last = raft.Position{Index: saved.Entries[k-1].Index, Term: saved.Entries[k-1].Term}
	}
	if old.Cluster == 0 || last.Index == 0 {
		return RecoveryResult{}, errors.Trace(ErrNothingToRecover)
	}
	next, err := newIdentity()
	if err != nil {
		return RecoveryResult{}, errors.Trace(err)
	}
	self := Member{ID: next.Node, VM: opts.VM, DataCentre: opts.DataCentre, Address: opts.Address}
	data, err := raft.EncodeMembership(raft.Membership{Members: []Member{self}})
	if err != nil {
		return RecoveryResult{}, errors.Trace(err)
	}
	entry := raft.Entry{
		Index: last.Index + 1, Term: max(saved.HardState.Term, last.Term) + 1,
		Type: raft.EntryMembership, Data: data,
	}
	if err := store.Bootstrap(next, entry); err != nil {
		return RecoveryResult{}, errors.Trace(err)
	}
	return RecoveryResult{
		OldCluster: old.Cluster, NewCluster: next.Cluster,
		LastIndex: last.Index, CommitIndex: saved.HardState.Commit,
	}, nil
}

func newIdentity() (wal.Identity, error) {
	node, err := wal.RandomID()
	if err != nil {
		return wal.Identity{}, errors.Trace(err)
	}
	cluster, err := wal.RandomID()
	if err != nil {
		return wal.Identity{}, errors.Trace(err)
	}
	return wal.Identity{Node: raft.NodeID(node), Cluster: cluster}, nil
}
