package blackboard

// RecordFirstRequest records that the first request of any caller has arrived. Written by: the
// entry that receives the first request. Read by: the controllers, which may ignore the rate limit
// of the weight store until then, and the other entries, which need not report it again.
type RecordFirstRequest struct {
	NowMillis int64 `json:"now_ms"`
}

func (c RecordFirstRequest) apply(d *draft) (any, bool) {
	if d.FirstRequestMillis != 0 {
		return refused("known already")
	}
	d.FirstRequestMillis = max(1, c.NowMillis)
	return applied()
}
