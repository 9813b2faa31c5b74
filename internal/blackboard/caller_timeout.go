package blackboard

// RecordCallerTimeout records the timeout that callers of a route use for their first attempt, as
// an entry has observed it. Written by: entries, when their observation differs from the board.
// Read by: entries that have just started, which would otherwise mistake retries for new requests.
type RecordCallerTimeout struct {
	Route string `json:"route"`
	// LeastMillis is the timeout that nearly all callers grant at least.
	LeastMillis int64 `json:"least_ms"`
}

// maxCallerTimeouts bounds the number of routes in the table. It exceeds the number of routes in a
// large configuration.
const maxCallerTimeouts = 4096

func (c RecordCallerTimeout) apply(d *draft) (any, bool) {
	_, known := d.CallerTimeouts[c.Route]
	switch {
	case d.CallerTimeouts[c.Route] == c.LeastMillis:
		return refused("no change")
	case !known && len(d.CallerTimeouts) >= maxCallerTimeouts:
		return refused("too many routes")
	}
	d.CallerTimeouts = cloneMap(d.CallerTimeouts)
	d.CallerTimeouts[c.Route] = c.LeastMillis
	return applied()
}
