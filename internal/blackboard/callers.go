package blackboard

// NoteCallers records that callers have begun to ask. Written by: the entry that gets the
// first request. Read by: the controllers, which may load weights without regard to the
// store's rate until then, and the other entries, which need not tell it again.
type NoteCallers struct {
	NowMillis int64 `json:"now_ms"`
}

func (c NoteCallers) apply(d *draft) (any, bool) {
	if d.CallersMillis != 0 {
		return refused("known already")
	}
	d.CallersMillis = max(1, c.NowMillis)
	return applied()
}
