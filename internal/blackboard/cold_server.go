package blackboard

// ColdServer marks a backend server that bears fewer requests a second than usual, as it
// started or stood idle not long ago. Written by: the group controllers, from what backend
// servers announce, and the end of an evacuation. Read by: entries, which share out the rate
// that its service states for cold instances.
type ColdServer struct {
	// Service names the ServiceSpec that states the rate.
	Service string `json:"service"`
}

// NoteCold marks a backend server as cold, or takes the mark off.
type NoteCold struct {
	// Incarnation is the backend server's.
	Incarnation string `json:"incarnation"`
	// Service is that of ColdServer; empty takes the mark off.
	Service string `json:"service,omitempty"`
}

// maxColdServers bounds the marks kept: more than the largest pools have VMs.
const maxColdServers = 8192

func (c NoteCold) apply(d *draft) (any, bool) {
	old, marked := d.ColdServers[c.Incarnation]
	switch {
	case c.Service == old.Service:
		return refused("no change")
	case !marked && len(d.ColdServers) >= maxColdServers:
		return refused("too many cold backend servers")
	}
	d.ColdServers = cloneMap(d.ColdServers)
	if c.Service == "" {
		delete(d.ColdServers, c.Incarnation)
		return applied()
	}
	d.ColdServers[c.Incarnation] = ColdServer{Service: c.Service}
	return applied()
}

// presumeCold marks the backend servers of a data centre that take requests, where their
// service states a rate for cold instances.
//
// Failure: an evacuation ends, the backend servers have become cold meanwhile, and the entries
// send them their whole part before any has announced it. The marks stand on the
// very board that ends the evacuation, until announcements show who is not cold.
func (d *draft) presumeCold(dataCentre string) {
	marks := make(map[string]ColdServer)
	mark := func(incarnation, service string) {
		if d.Config.Services[service].ColdPerSecond > 0 {
			marks[incarnation] = ColdServer{Service: service}
		}
	}
	for _, g := range d.Groups {
		if g.State == Serving && g.DataCentre == dataCentre {
			mark(g.Head().Incarnation, d.Config.Groups[g.Spec].Pool)
		}
	}
	for _, s := range d.Services {
		if s.DataCentre == dataCentre {
			mark(s.Incarnation, s.Service)
		}
	}
	if len(marks) == 0 {
		return
	}
	d.ColdServers = cloneMap(d.ColdServers)
	for incarnation, row := range marks {
		d.ColdServers[incarnation] = row
	}
}
