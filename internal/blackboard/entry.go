package blackboard

// Entry is a process that receives callers' requests. Written by: the control server when an
// entry first watches the board. Read by: the leader and the other entries. The leader counts a
// configuration as in force only when each entry holds it or the entry's lease has expired.
// Entries exchange liveness evidence with each other.
type Entry struct {
	ID string `json:"id"`
	// Address is the address for callers and backend servers.
	Address string `json:"address"`
	// PeerAddress is the address for the system's own processes.
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
	// Deaf states that the entry receives no announcements. It therefore reports no stalls of
	// backend servers, and other entries exchange no evidence with it.
	Deaf bool `json:"deaf,omitempty"`
}

// PutEntry adds or updates the row of an entry.
type PutEntry struct {
	Entry Entry `json:"entry"`
}

func (c PutEntry) apply(d *draft) (any, bool) {
	if d.Entries[c.Entry.ID] == c.Entry {
		return refused("no change")
	}
	d.Entries = cloneMap(d.Entries)
	d.Entries[c.Entry.ID] = c.Entry
	return applied()
}

// RemoveEntry removes an entry that has left or whose lease expired long ago.
type RemoveEntry struct {
	ID string `json:"id"`
}

func (c RemoveEntry) apply(d *draft) (any, bool) {
	if _, ok := d.Entries[c.ID]; !ok {
		return refused("unknown entry")
	}
	d.Entries = cloneMap(d.Entries)
	delete(d.Entries, c.ID)
	return applied()
}
