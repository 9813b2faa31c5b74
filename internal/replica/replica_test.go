package replica

import (
	"strconv"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Checks founding, joining and writing. An operator founds a cluster on one of three empty VMs.
// The other two must join without a command, and a write acknowledged by the leader must reach
// all three.
func TestFoundJoinPropose(t *testing.T) {
	c := newCluster(t, 3, nil)
	_, err := c.hosts[0].node.Propose(testContext(t), command("k", "v"))
	assert.Assert(t, errors.Is(err, ErrNotFounded), "%v", err)

	c.found(3)
	c.put("k", "v")
	assert.NilError(t, c.leader().node.ReadBarrier(testContext(t)))
	leader := c.leader().node
	assert.Assert(t, leader.LeaseRemaining() < leader.MaxLease())
	for _, h := range c.hosts {
		eventually(t, "the write is on all replicas", func() bool { return h.machine.get("k") == "v" })
	}
	assert.NilError(t, c.hosts[0].node.Found(testContext(t)))
	assert.NilError(t, c.hosts[1].node.Found(testContext(t)))
}

// Guards against the loss of acknowledged writes when all three VMs lose power at once. The
// writes must be there after the restart, without a command of an operator.
func TestRestartOfAll(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.SnapshotEntries = 64 })
	c.found(3)
	for i := range 300 {
		c.put(strconv.Itoa(i), "v"+strconv.Itoa(i))
	}
	for _, h := range c.hosts {
		h.kill()
	}
	for _, h := range c.hosts {
		h.open()
	}
	assert.NilError(t, c.leader().node.ReadBarrier(testContext(t)))
	for i := range 300 {
		assert.Equal(t, c.leader().machine.get(strconv.Itoa(i)), "v"+strconv.Itoa(i))
	}
}

// Guards against a replica that can't catch up. A control VM is absent for hundreds of changes,
// so the log entries that it needs are compacted. It must get the snapshot and the entries
// after it.
func TestReturningReplicaRestoresASnapshot(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.SnapshotEntries = 64 })
	c.found(3)
	c.put("first", "1")
	absent := c.hosts[2]
	absent.kill()
	for i := range 400 {
		c.put(strconv.Itoa(i), "v")
	}
	absent.open()
	eventually(t, "the absent replica has caught up", func() bool { return absent.machine.get("399") == "v" })
	assert.Equal(t, absent.machine.get("first"), "1")
	assert.Assert(t, absent.node.Status().SnapshotIndex > 0)
}

// Guards against lost disks that need an operator. A VM returns with an empty disk, and soon
// after a second VM does. Each must get a new identity, the old identities must be removed, and
// all writes must remain.
func TestTwoReplicasLoseTheirDisks(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.found(3)
	c.put("k", "v")
	for _, i := range []int{1, 2} {
		h := c.hosts[i]
		old := h.node.Status().ID
		h.kill()
		h.loseDisk()
		h.open()
		assert.Assert(t, h.node.Status().ID != old)
		eventually(t, "the new identity votes", func() bool {
			m, ok := c.member(h.node.Status().ID)
			return ok && !m.Learner
		})
		_, still := c.member(old)
		assert.Assert(t, !still)
		assert.Equal(t, c.voters(), 3)
		c.put("after"+strconv.Itoa(i), "w")
	}
	for _, h := range c.hosts {
		eventually(t, "all writes are there", func() bool {
			return h.machine.get("k") == "v" && h.machine.get("after2") == "w"
		})
	}
}
