package blackboard

import "github.com/juju/errors"

// An entry copy is the part of the board that entries need: the configuration, the serving
// groups, plain services, entries, suspects, quarantines, callers' first timeouts, rate limits,
// cold backend servers and evacuated data centres. Of VMs, an entry copy only names those that
// are leaving.
//
// When a pool of a thousand VMs starts or loses a domain, hundreds of entries follow the board.
// With complete boards, each VM row would go to every entry over the leader's link and delay the
// consensus heartbeats. The serving groups are a small part of the board, and each is sent once.

// groupForEntries returns a group's row in entry copies, and whether entry copies contain the
// group. Entries need the members of serving groups only. Of a group that has stopped serving,
// they need the reason.
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

// entryCopy returns the entry copy of the board.
func (b *Board) entryCopy() *Board {
	c := New()
	c.Revision, c.ClusterID, c.Config = b.Revision, b.ClusterID, b.Config
	c.Config.Document = nil
	c.Services, c.Entries, c.Suspects, c.Quarantines = b.Services, b.Entries, b.Suspects, b.Quarantines
	c.CallerTimeouts, c.RateLimits, c.FirstRequestMillis = b.CallerTimeouts, b.RateLimits, b.FirstRequestMillis
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

// leavingVMRow returns the row of a leaving VM in an entry copy.
func leavingVMRow(id string) VM { return VM{ID: id, Leaving: true} }

// EncodeForEntries returns the entry copy of the board as a snapshot.
func (b *Board) EncodeForEntries() ([]byte, error) {
	data, err := b.entryCopy().Encode()
	return data, errors.Trace(err)
}
