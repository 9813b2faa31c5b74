package blackboard

// NoteWait records how long the callers of a route wait when they first ask, as an
// entry has learned it. Written by: entries, when what they see differs from it. Read by:
// entries that have just started, which would take later tries for new requests.
type NoteWait struct {
	Route string `json:"route"`
	// LeastMillis is the time that nearly all callers give.
	LeastMillis int64 `json:"least_ms"`
}

// maxWaits bounds the routes kept: one more than a large configuration has.
const maxWaits = 4096

func (c NoteWait) apply(d *draft) (any, bool) {
	_, known := d.Waits[c.Route]
	switch {
	case d.Waits[c.Route] == c.LeastMillis:
		return refused("no change")
	case !known && len(d.Waits) >= maxWaits:
		return refused("too many routes")
	}
	d.Waits = cloneMap(d.Waits)
	d.Waits[c.Route] = c.LeastMillis
	return applied()
}
