package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/raft"
)

// replaceSoon makes voters lose their vote after a short silence.
func replaceSoon(o *Options) { o.ReplaceAfter = time.Second }

// isVoter reports whether a host's present identity is a voter.
func (c *cluster) isVoter(h *host) bool {
	m, ok := c.member(h.node.Status().ID)
	return ok && !m.Learner
}

// follower returns a voter that does not lead.
func (c *cluster) follower() *host {
	c.t.Helper()
	leader := c.leader()
	for _, h := range c.hosts {
		if h.node != nil && h != leader && c.isVoter(h) {
			return h
		}
	}
	c.t.Fatal("no voter follows")
	return nil
}

// Guards against a lost voter that is never replaced, and one that never votes again after an absence.
func TestSpareReplacesAVoter(t *testing.T) {
	c := newCluster(t, 4, func(o *Options) { replaceSoon(o); o.Voters = 3 })
	c.found(3)
	c.put("k", "v")
	var spare *host
	for _, h := range c.hosts {
		if !c.isVoter(h) {
			spare = h
		}
	}
	absent := c.follower()
	id := absent.node.Status().ID
	absent.kill()
	eventually(t, "the standby votes in place of the absent voter", func() bool {
		m, _ := c.member(id)
		return m.Learner && c.isVoter(spare) && c.voters() == 3
	})
	c.put("k", "w")
	absent.open()
	eventually(t, "the absent VM has the write", func() bool { return absent.machine.get("k") == "w" })
	assert.Equal(t, absent.node.Status().ID, id)
	assert.Assert(t, !c.isVoter(absent))

	spare.kill()
	eventually(t, "the VM that returned votes again", func() bool { return c.isVoter(absent) && c.voters() == 3 })
}

// Guards against lost voters that are never replaced because there are two of them.
func TestTwoLostVotersAreReplaced(t *testing.T) {
	c := newCluster(t, 5, func(o *Options) { replaceSoon(o); o.Voters = 5 })
	c.found(5)
	c.put("k", "v")
	for range 2 {
		c.follower().kill()
	}
	for range 2 {
		h := c.addHost()
		h.opts.Peers = c.peers
		h.open()
	}
	eventually(t, "the successors vote", func() bool {
		return c.isVoter(c.hosts[5]) && c.isVoter(c.hosts[6]) && c.voters() == 5
	})
	for range 2 {
		h := c.follower()
		h.kill()
		h.loseDisk()
	}
	c.put("k", "w")
}

// Guards against a silent voter whose place goes to the successor of another one.
func TestSilentVoterKeepsItsVoteBesideALostDisk(t *testing.T) {
	c := newCluster(t, 5, func(o *Options) { replaceSoon(o); o.Voters = 5 })
	c.found(5)
	c.put("k", "v")
	silent := c.follower()
	silent.kill()
	empty := c.follower()
	empty.kill()
	empty.loseDisk()
	time.Sleep(2 * silent.opts.ReplaceAfter)
	empty.open()
	eventually(t, "the empty VM votes", func() bool { return c.isVoter(empty) })
	silent.open()
	eventually(t, "all five VMs vote", func() bool { return c.isVoter(silent) && c.voters() == 5 })
}

// Guards against a voter that has left the list, does not know it, and waits for a leader forever.
func TestDroppedVoterReturns(t *testing.T) {
	c := newCluster(t, 4, func(o *Options) { o.ReplaceAfter = 300 * time.Millisecond; o.Voters = 3 })
	c.found(3)
	absent := c.follower()
	id := absent.node.Status().ID
	absent.kill()
	eventually(t, "the absent VM leaves the list", func() bool {
		_, ok := c.member(id)
		return !ok && c.voters() == 3
	})
	c.put("k", "v")
	absent.open()
	eventually(t, "the absent VM is a member again", func() bool {
		_, ok := c.member(id)
		return ok && absent.node.Status().ID == id && absent.machine.get("k") == "v"
	})
}

// Guards against a planned stop that leaves the group a voter short.
func TestStoppingVoterHandsItsVoteOver(t *testing.T) {
	c := newCluster(t, 6, func(o *Options) { o.Voters = 5 })
	c.found(5)
	var successor *host
	eventually(t, "the successor stands by", func() bool {
		for _, h := range c.hosts {
			if m, ok := c.member(h.node.Status().ID); ok && m.Learner {
				successor = h
			}
		}
		return successor != nil
	})
	c.put("k", "v")
	old := c.follower()
	assert.NilError(t, old.node.Leave(testContext(t)))
	assert.Assert(t, !c.isVoter(old) && c.isVoter(successor))
	assert.Equal(t, c.voters(), 5)
	old.kill()
	for range 2 {
		h := c.follower()
		h.kill()
		h.loseDisk()
	}
	c.put("k", "w")
}

// Guards against a stop that waits although nobody can take the vote over.
func TestStopWithoutAStandbyKeepsTheVote(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.found(3)
	h := c.follower()
	assert.NilError(t, h.node.Leave(testContext(t)))
	assert.Assert(t, c.isVoter(h))
}

// Guards against a shortage of voters that the leader's status does not show.
func TestStatusShowsMissingVoters(t *testing.T) {
	c := newCluster(t, 3, replaceSoon)
	c.found(3)
	h := c.follower()
	id := h.node.Status().ID
	h.kill()
	leader := c.leader()
	eventually(t, "the shortage is shown", func() bool {
		s := leader.node.Status()
		v := s.Voters
		return v.Wanted == 3 && v.Answering == 2 && v.MissingFor > 0 && v.Action == raft.ActionNoStandby && s.SilentFor[id] > 0
	})
	h.open()
	eventually(t, "the shortage ends", func() bool {
		v := leader.node.Status().Voters
		return v.Answering == 3 && v.MissingFor == 0 && v.Action == ""
	})
}
