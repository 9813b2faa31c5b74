package blackboard

// Quarantine reserves one target of a model or plain service for a single suspect request.
// Written by: entries, through TakeQuarantine and EndQuarantine. Read by: entries, which send no
// other requests to the target.
type Quarantine struct {
	// Pool is the model or the plain service.
	Pool string `json:"pool"`
	// Target is the serving group or the service instance.
	Target string `json:"target"`
	Entry  string `json:"entry"`
	// UntilMillis is the expiry time, for the case that the entry disappears before it ends the
	// quarantine.
	UntilMillis int64 `json:"until_ms"`
}

// IsInForce reports whether the quarantine is in force at the given time.
func (q Quarantine) IsInForce(nowMillis int64) bool { return nowMillis < q.UntilMillis }

// TakeQuarantine requests the single quarantine of a pool. Suspects can therefore block at most
// one target of the pool's capacity at a time.
type TakeQuarantine struct {
	Quarantine Quarantine `json:"quarantine"`
	NowMillis  int64      `json:"now_ms"`
}

func (c TakeQuarantine) apply(d *draft) (any, bool) {
	old, ok := d.Quarantines[c.Quarantine.Pool]
	if ok && old.IsInForce(c.NowMillis) && old.Entry != c.Quarantine.Entry {
		return refused("the pool has a quarantine")
	}
	d.Quarantines = cloneMap(d.Quarantines)
	d.Quarantines[c.Quarantine.Pool] = c.Quarantine
	return applied()
}

// EndQuarantine releases the quarantine of a pool.
type EndQuarantine struct {
	Pool  string `json:"pool"`
	Entry string `json:"entry"`
}

func (c EndQuarantine) apply(d *draft) (any, bool) {
	if old, ok := d.Quarantines[c.Pool]; !ok || old.Entry != c.Entry {
		return refused("no such quarantine")
	}
	d.Quarantines = cloneMap(d.Quarantines)
	delete(d.Quarantines, c.Pool)
	return applied()
}
