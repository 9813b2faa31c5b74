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

func (c PutEntry) apply(b *Board) (any, bool) {
	if b.Entries[c.Entry.ID] == c.Entry {
		return refused("no change")
	}
	b.Entries = cloneMap(b.Entries)
	b.Entries[c.Entry.ID] = c.Entry
	return applied()
}

// RemoveEntry forgets an entry whose lease ran out long ago or that left.
type RemoveEntry struct {
	ID string `json:"id"`
}

func (c RemoveEntry) apply(b *Board) (any, bool) {
	if _, ok := b.Entries[c.ID]; !ok {
		return refused("unknown entry")
	}
	b.Entries = cloneMap(b.Entries)
	delete(b.Entries, c.ID)
	return applied()
}
