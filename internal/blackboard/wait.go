package blackboard

// NoteWait records the timeout that callers of a route use for their first attempt, as an entry
// has observed it. Written by: entries, when their observation differs from the board. Read by:
// entries that have just started, which would otherwise mistake retries for new requests.
type NoteWait struct {
	Route string `json:"route"`
	// LeastMillis is the timeout that nearly all callers grant at least.
	LeastMillis int64 `json:"least_ms"`
}

// maxWaits bounds the number of routes in the table. It exceeds the number of routes in a large
// configuration.
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
