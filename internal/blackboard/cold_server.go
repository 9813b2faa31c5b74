package blackboard

// ColdServer marks a backend server within its slow-start period: it sustains fewer requests a
// second than usual because it started recently or was idle. Written by: the group controllers,
// from the announcements of backend servers, and the end of an evacuation. Read by: entries,
// which divide among themselves the rate that the service states for cold instances.
type ColdServer struct {
	// Service names the ServiceSpec that states the rate.
	Service string `json:"service"`
}

// MarkCold marks a backend server as cold, or removes the mark.
type MarkCold struct {
	// Incarnation identifies the backend server.
	Incarnation string `json:"incarnation"`
	// Service is the value for ColdServer.Service; empty removes the mark.
	Service string `json:"service,omitempty"`
}

// maxColdServers bounds the number of marks. It exceeds the number of VMs in the largest pools.
const maxColdServers = 8192

func (c MarkCold) apply(d *draft) (any, bool) {
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

// presumeCold marks the routable backend servers of a data centre as cold if their service
// states a rate for cold instances.
//
// Without the marks, entries would send backend servers their full share at the end of an
// evacuation, although the backend servers became cold during it and have not announced that
// yet. The marks are part of the same board revision that ends the evacuation. They stay until
// announcements show which backend servers are not cold.
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
