package blackboard

import "github.com/juju/errors"

// Entries go by a part of the board: the configuration, the groups that serve, the
// plain services, the entries, the suspects, how long callers wait, the rate limits of
// backend servers, those that are cold, and the data centres that are evacuated. Of VMs they
// need to know which are leaving. What they hold is called the entry's copy here.
//
// Load: a pool of a thousand VMs starts, or loses a domain, and hundreds of entries follow
// the board. Sent whole, each row of a VM goes to each of them over the leader's link, and
// heartbeats of the consensus wait behind. The groups that serve are a small part of
// it, sent once each.

// copied returns the row of a group in an entry's copy, and whether it has one.
// Entries need the members of a group that serves alone, and of one that has ceased
// to, why.
func groupForEntries(g Group) (Group, bool) {
	switch g.State {
	case Serving:
		return g, true
	case Draining, Broken:
		g.Members = nil
		return g, true
	}
	return Group{}, false
}

// entryCopy returns the entry's copy of the board.
func (b *Board) entryCopy() *Board {
	c := New()
	c.Revision, c.ClusterID, c.Config = b.Revision, b.ClusterID, b.Config
	c.Config.Document = nil
	c.Services, c.Entries, c.Suspects, c.Quarantines = b.Services, b.Entries, b.Suspects, b.Quarantines
	c.Waits, c.RateLimits, c.CallersMillis = b.Waits, b.RateLimits, b.CallersMillis
	c.Evacuations, c.ColdServers = b.Evacuations, b.ColdServers
	for id, g := range b.Groups {
		if row, ok := groupForEntries(g); ok {
			c.Groups[id] = row
		}
	}
	for id, v := range b.VMs {
		if v.Leaving {
			c.VMs[id] = leavingVMRow(id)
		}
	}
	return c
}

// leavingVMRow is the row of a leaving VM in an entry's copy.
func leavingVMRow(id string) VM { return VM{ID: id, Leaving: true} }

// EncodeForEntries returns the entry's copy of the board as a snapshot.
func (b *Board) EncodeForEntries() ([]byte, error) {
	data, err := b.entryCopy().Encode()
	return data, errors.Trace(err)
}
