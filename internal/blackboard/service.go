package blackboard

// ServiceInstance is one backend server of a plain service. Written by: the announcement
// controller. Read by: entries.
type ServiceInstance struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Incarnation string `json:"incarnation"`
	// StartedMillis is the start time of the incarnation, by its host's clock; 0 means unknown.
	StartedMillis int64    `json:"started_ms,omitempty"`
	Address       string   `json:"address"`
	DataCentre    string   `json:"data_centre"`
	Liveness      Liveness `json:"liveness"`
	Leaving       bool     `json:"leaving,omitempty"`
}

// PutService records what an instance of a plain service announced, or the liveness that the
// liveness controller determined.
type PutService struct {
	Instance ServiceInstance `json:"instance"`
}

func (c PutService) apply(d *draft) (any, bool) {
	if d.Services[c.Instance.ID] == c.Instance {
		return refused("no change")
	}
	if c.Instance.StartedMillis < d.Services[c.Instance.ID].StartedMillis {
		return refused("an earlier incarnation")
	}
	d.Services = cloneMap(d.Services)
	d.Services[c.Instance.ID] = c.Instance
	return applied()
}

// RemoveService removes an instance that has been dead for a long time.
type RemoveService struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
}

func (c RemoveService) apply(d *draft) (any, bool) {
	if s, ok := d.Services[c.ID]; !ok || s.Incarnation != c.Incarnation {
		return refused("another incarnation")
	}
	d.Services = cloneMap(d.Services)
	delete(d.Services, c.ID)
	return applied()
}
