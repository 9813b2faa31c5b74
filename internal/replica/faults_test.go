package replica

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/raft"
	"github.com/citronstep/citronstep/internal/wal"
)

// freeze blocks the node's goroutine, as SIGSTOP would, until thaw is called. Meanwhile
// messages queue up and the clock goes on.
func (h *host) freeze() (thaw func()) {
	h.t.Helper()
	frozen := make(chan struct{})
	release := make(chan struct{})
	n := h.node
	go func() {
		_ = n.do(context.Background(), func() {
			close(frozen)
			<-release
		})
	}()
	<-frozen
	thaw = sync.OnceFunc(func() { close(release) })
	h.t.Cleanup(thaw)
	return thaw
}

func (c *cluster) otherLeader(than *host) *host {
	c.t.Helper()
	var found *host
	eventually(c.t, "another leader", func() bool {
		for _, h := range c.hosts {
			if h != than && h.node != nil && h.node.LeaseRemaining() > 0 {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

// Guards against a stale read. The leader's process is frozen, and another leader is elected
// and commits a write. The old leader resumes and gets a read before it has processed any
// message. It must not return the old value.
func TestFrozenLeaderAnswersNobody(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.found(3)
	c.put("k", "old")
	old := c.leader()
	thaw := old.freeze()
	next := c.otherLeader(old)
	_, err := next.node.Propose(testContext(t), command("k", "new"))
	assert.NilError(t, err)

	assert.Equal(t, old.node.LeaseRemaining(), time.Duration(0))
	assert.Assert(t, !old.node.readByLease())
	result := make(chan error, 2)
	go func() { result <- old.node.ReadBarrier(testContext(t)) }()
	go func() {
		_, err := old.node.Propose(testContext(t), command("k", "stale"))
		result <- err
	}()
	thaw()
	for range 2 {
		err := <-result
		assert.Assert(t, err != nil, "the frozen leader answered")
	}
	assert.NilError(t, c.otherLeader(old).node.ReadBarrier(testContext(t)))
	assert.Equal(t, next.machine.get("k"), "new")
}

// Guards against a write that takes effect after its caller got ErrNotProposed. The caller
// stops waiting while the leader hangs and has not yet handled the proposal.
func TestNotProposedNeverTakesEffect(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.found(1)
	leader := c.leader()
	thaw := leader.freeze()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := leader.node.Propose(ctx, command("k", "v"))
	thaw()
	assert.Assert(t, errors.Is(err, ErrNotProposed), "%v", err)
	c.put("other", "v")
	assert.Equal(t, leader.machine.get("k"), "")
}

// Guards against a definite result for an undecided write. The leader loses both peers after it
// appended the write, so the caller must get ErrOutcomeUnknown.
func TestLostQuorumLeavesTheOutcomeUnknown(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.found(3)
	leader := c.leader()
	for _, h := range c.hosts {
		if h != leader {
			h.kill()
		}
	}
	_, err := leader.node.Propose(testContext(t), command("k", "v"))
	assert.Assert(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
	var notLeader *NotLeaderError
	_, err = leader.node.Propose(testContext(t), command("k", "w"))
	assert.Assert(t, errors.As(err, &notLeader), "%v", err)
}

// Guards against a second cluster. An operator runs init on a node whose peer is down, on a
// node whose peer is founding or belongs to a cluster, and on two empty nodes at once.
func TestFoundingIsRefused(t *testing.T) {
	c := newCluster(t, 2, nil)
	c.hosts[1].kill()
	err := c.hosts[0].node.Found(testContext(t))
	assert.Assert(t, errors.Is(err, ErrPeerUnreachable), "%v", err)
	c.hosts[1].open()

	c.hosts[1].node.beginFounding()
	err = c.hosts[0].node.Found(testContext(t))
	assert.Assert(t, errors.Is(err, ErrAlreadyFounded), "%v", err)
	c.hosts[1].node.endFounding()

	c.found(2)
	third := c.addHost()
	third.opts.Peers = c.peers[1:]
	third.opts.Voters = 3
	third.open()
	err = third.node.Found(testContext(t))
	founded := third.node.Status().Founded
	assert.Assert(t, founded || errors.Is(err, ErrAlreadyFounded), "%v", err)
	eventually(t, "the third node joins the existing cluster", func() bool {
		return third.node.Status().Cluster == c.hosts[0].node.Status().Cluster
	})
}

// Guards against a VM that replaces another with the same name in its settings while that other
// one is alive.
func TestJoinWithTheNameOfALiveVMIsRefused(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.found(3)
	duplicate := c.addHost()
	duplicate.opts.Peers = c.peers
	duplicate.opts.VM = c.hosts[1].opts.VM
	duplicate.open()
	time.Sleep(3 * joinInterval)
	assert.Assert(t, !duplicate.node.Status().Founded)
	_, ok := c.member(c.hosts[1].node.Status().ID)
	assert.Assert(t, ok)
}

// remove removes a member. It asks again, as an operator does, while a voter answers late, the leader
// changes or the outcome is unknown.
func (c *cluster) remove(id raft.NodeID) {
	c.t.Helper()
	mayBeRemoved := false
	eventually(c.t, "the member is removed", func() bool {
		err := c.leader().node.RemoveMember(testContext(c.t), id)
		var notLeader *NotLeaderError
		switch {
		case errors.Is(err, ErrOutcomeUnknown):
			mayBeRemoved = true
			return false
		case errors.Is(err, raft.ErrUnsafeChange), errors.As(err, &notLeader):
			return false
		case mayBeRemoved && errors.Is(err, ErrUnknownMember):
			return true
		}
		assert.NilError(c.t, err)
		return true
	})
}

// Guards against a removed VM that comes back. The VM is alive when it is removed. It must
// learn of its removal and stay out, even after a restart.
func TestRemovedReplicaStaysOut(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.found(3)
	leader := c.leader()
	var removed *host
	for _, h := range c.hosts {
		if h != leader {
			removed = h
		}
	}
	id := removed.node.Status().ID
	c.remove(id)
	eventually(t, "it learns of its removal", func() bool { return removed.node.Status().Removed })
	_, err := removed.node.Propose(testContext(t), command("k", "v"))
	assert.Assert(t, errors.Is(err, ErrRemoved), "%v", err)
	removed.kill()
	removed.open()
	assert.Equal(t, removed.node.Status().Role, "removed")
	err = c.leader().node.RemoveMember(testContext(t), id)
	assert.Assert(t, errors.Is(err, ErrUnknownMember), "%v", err)
}

// Guards against a graceful stop that costs an election timeout. The leader transfers its
// leadership first, and writes continue at the next leader.
func TestLeadershipTransfer(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.found(3)
	old := c.leader()
	assert.NilError(t, old.node.TransferLeadership(testContext(t)))
	assert.Equal(t, old.node.LeaseRemaining(), time.Duration(0))
	c.put("k", "v")
	assert.Assert(t, c.leader() != old)
}

// Guards against messages without the token or from another cluster. Neither may reach the
// consensus state machine.
func TestForeignMessagesAreRefused(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.found(1)
	response, err := http.Post(c.hosts[0].server.URL+PathPrefix+"Deliver", "application/json", bytes.NewBufferString("{}"))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusUnauthorized)

	other := newCluster(t, 1, nil)
	other.found(1)
	p := newPeer(other.hosts[0].node.transport, 1)
	p.deliver([]raft.Message{{Type: raft.MessageHeartbeat}}, 0, c.hosts[0].opts.Address)
	assert.Assert(t, p.isFailing)
}

// Guards against a replica that starts from a damaged file. Open must return a CorruptError.
// After the operator has emptied the data folder, the VM must join again.
func TestCorruptDataFolder(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.found(3)
	c.put("k", "v")
	h := c.hosts[2]
	h.kill()
	path := h.opts.Folder + "/" + wal.FileName
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, content[:3*os.Getpagesize()], 0o600))
	_, err = Open(h.opts)
	var corrupt *wal.CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)

	h.loseDisk()
	h.open()
	eventually(t, "the replica votes again", func() bool {
		m, ok := c.member(h.node.Status().ID)
		return ok && !m.Learner && h.machine.get("k") == "v"
	})
}

// Guards against a recovery that loses writes. Two of three control VMs lose their disks
// permanently, so the group stops. After the operator recovers from the survivor's folder, the
// other two VMs must join the new cluster with empty folders, and get the writes.
func TestRecoverFromTheSurvivor(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.found(3)
	c.put("k", "v")
	survivor := c.leader()
	old := survivor.node.Status()
	for _, h := range c.hosts {
		h.kill()
		if h != survivor {
			h.loseDisk()
		}
	}
	result, err := Recover(survivor.opts)
	assert.NilError(t, err)
	assert.Equal(t, result.OldCluster, old.Cluster)
	assert.Assert(t, result.NewCluster != old.Cluster)
	for _, h := range c.hosts {
		h.open()
	}
	eventually(t, "three voters again", func() bool { return c.voters() == 3 })
	assert.Assert(t, survivor.node.Status().ID != old.ID)
	for _, h := range c.hosts {
		eventually(t, "the write is there", func() bool { return h.machine.get("k") == "v" })
	}
	_, err = Recover(Options{Folder: t.TempDir()})
	assert.Assert(t, errors.Is(err, ErrNothingToRecover), "%v", err)
}
