package blackboard

// Entry is a process that takes callers' requests. Written by: the control
// server when an entry first watches. Read by: the leader, which counts a
// configuration as in force only when each entry holds it or its lease has run
// out, and entries, which exchange liveness evidence with each other.
type Entry struct {
	ID string `json:"id"`
	// Address is where callers and backend servers reach the entry.
	Address string `json:"address"`
	// PeerAddress is where the system's own processes reach it.
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
	// Deaf says that the entry takes no announcements: it is no witness of
	// backend servers, and nobody exchanges evidence with it.
	Deaf bool `json:"deaf,omitempty"`
}

// PutEntry registers an entry, or its new address.
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

// RemoveEntry forgets an entry whose lease ran out long ago or that left.
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
