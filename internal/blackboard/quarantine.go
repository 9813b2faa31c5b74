package blackboard

// Quarantine keeps one target of a model or plain service for a single
// suspect request. Written by: entries, through TakeQuarantine and
// EndQuarantine. Read by: entries, which send nothing else there.
type Quarantine struct {
	// Pool is the model or the plain service.
	Pool string `json:"pool"`
	// Target is the serving group or the instance.
	Target string `json:"target"`
	Entry  string `json:"entry"`
	// UntilMillis ends a quarantine whose entry is gone.
	UntilMillis int64 `json:"until_ms"`
}

// Holds tells whether the quarantine is in force at a time.
func (q Quarantine) Holds(nowMillis int64) bool { return nowMillis < q.UntilMillis }

// TakeQuarantine asks for a pool's one quarantine. One at a time bounds what
// suspects can take from a pool's capacity to one target.
type TakeQuarantine struct {
	Quarantine Quarantine `json:"quarantine"`
	NowMillis  int64      `json:"now_ms"`
}

func (c TakeQuarantine) apply(d *draft) (any, bool) {
	old, ok := d.Quarantines[c.Quarantine.Pool]
	if ok && old.Holds(c.NowMillis) && old.Entry != c.Quarantine.Entry {
		return refused("the pool has a quarantine")
	}
	d.Quarantines = cloneMap(d.Quarantines)
	d.Quarantines[c.Quarantine.Pool] = c.Quarantine
	return applied()
}

// EndQuarantine gives the quarantine back.
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
