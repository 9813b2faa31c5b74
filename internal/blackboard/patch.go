package blackboard

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/juju/errors"
)

// Change names the rows of an entry's copy that one command changed.
type Change struct {
	groups, leavingVMs, services, entries, suspects, quarantines, waits    []string
	rateLimits, evacuations, coldServers, routes, serviceSpecs, workspaces []string
	// version says that the operators' whole configuration changed, parts that anything
	// else of the configuration did, and callers that callers have come.
	versionChanged, otherConfigChanged, callersChanged bool
}

// Concerns tells whether an entry's copy differs by the change in anything but its
// revision.
func (c Change) Concerns() bool {
	rows := len(c.groups) + len(c.leavingVMs) + len(c.services) + len(c.entries) + len(c.suspects) + len(c.quarantines) + len(c.waits) +
		len(c.rateLimits) + len(c.evacuations) + len(c.coldServers)
	return rows > 0 || c.versionChanged || c.otherConfigChanged || c.callersChanged
}

// changeBetween returns what a draft changed of the board that it began as.
func changeBetween(before *Board, d *draft) Change {
	c := Change{
		services:       changedRows(before.Services, d.Services),
		entries:        changedRows(before.Entries, d.Entries),
		suspects:       changedRows(before.Suspects, d.Suspects),
		quarantines:    changedRows(before.Quarantines, d.Quarantines),
		waits:          changedRows(before.Waits, d.Waits),
		rateLimits:     changedRows(before.RateLimits, d.RateLimits),
		evacuations:    changedRows(before.Evacuations, d.Evacuations),
		coldServers:    changedRows(before.ColdServers, d.ColdServers),
		callersChanged: before.CallersMillis != d.CallersMillis,
	}
	for id := range d.writtenGroups {
		_, had := groupForEntries(before.Groups[id])
		if _, has := groupForEntries(d.Groups[id]); had || has {
			c.groups = append(c.groups, id)
		}
	}
	for id := range d.writtenVMs {
		if before.VMs[id].Leaving != d.VMs[id].Leaving {
			c.leavingVMs = append(c.leavingVMs, id)
		}
	}
	from, to := &before.Config, &d.Config
	switch {
	case from.Revision == to.Revision:
	case from.Version != to.Version:
		c.versionChanged = true
		c.routes = changedRows(from.Routes, to.Routes)
		c.serviceSpecs = changedRows(from.Services, to.Services)
		c.workspaces = changedRows(from.Workspaces, to.Workspaces)
	default:
		c.otherConfigChanged = true
	}
	return c
}

// changedRows returns the names of the rows that are new, differ or are gone.
func changedRows[V any](from, to map[string]V) []string {
	if reflect.ValueOf(from).Pointer() == reflect.ValueOf(to).Pointer() {
		return nil
	}
	var names []string
	for name, row := range to {
		old, known := from[name]
		if !known || !reflect.DeepEqual(old, row) {
			names = append(names, name)
		}
	}
	for name := range from {
		if _, kept := to[name]; !kept {
			names = append(names, name)
		}
	}
	return names
}

// Patch takes an entry's copy of the board to a later revision. It stands in no log:
// the leader makes it of the rows that have changed since the entry's revision, as
// they are now, so that a row that changed many times is sent once.
//
// Load: operators change one route of a thousand, several times a second. Sent
// whole, the copies for all entries fill the leader's link, and heartbeats of the
// consensus wait behind them.
type Patch struct {
	// Revision is that of the board that it leads to.
	Revision  uint64 `json:"revision"`
	ClusterID string `json:"cluster_id"`

	Groups      Rows[Group]           `json:"groups,omitzero"`
	Leaving     Rows[VM]              `json:"leaving,omitzero"`
	Services    Rows[ServiceInstance] `json:"services,omitzero"`
	Entries     Rows[Entry]           `json:"entries,omitzero"`
	Suspects    Rows[Suspect]         `json:"suspects,omitzero"`
	Quarantines Rows[Quarantine]      `json:"quarantines,omitzero"`
	Waits       Rows[int64]           `json:"waits,omitzero"`
	RateLimits  Rows[RateLimit]       `json:"rate_limits,omitzero"`
	Evacuations Rows[Evacuation]      `json:"evacuations,omitzero"`
	ColdServers Rows[ColdServer]      `json:"cold_servers,omitzero"`
	// CallersMillis is the board's own.
	CallersMillis int64 `json:"callers_ms,omitempty"`

	// Version is set where the operators' whole configuration has changed, and
	// Config in its place where other parts of it have.
	Version *VersionPatch  `json:"version,omitempty"`
	Config  *Configuration `json:"config,omitempty"`
}

// VersionPatch is what whole configurations have changed of an earlier one.
type VersionPatch struct {
	// Revision is that of the configuration, Version the operators' number of it.
	Revision   uint64            `json:"revision"`
	Version    uint64            `json:"version"`
	Limits     CallerLimits      `json:"limits"`
	Routes     Rows[Route]       `json:"routes,omitzero"`
	Services   Rows[ServiceSpec] `json:"services,omitzero"`
	Workspaces Rows[Workspace]   `json:"workspaces,omitzero"`
}

// Rows are rows of one table that are put, and names of rows that are removed.
type Rows[V any] struct {
	Put    map[string]V `json:"put,omitempty"`
	Remove []string     `json:"remove,omitempty"`
}

// selectRows returns the named rows of a table.
func selectRows[V any](table map[string]V, names map[string]bool) Rows[V] {
	var rows Rows[V]
	for name := range names {
		row, known := table[name]
		if !known {
			rows.Remove = append(rows.Remove, name)
			continue
		}
		if rows.Put == nil {
			rows.Put = make(map[string]V)
		}
		rows.Put[name] = row
	}
	slices.Sort(rows.Remove)
	return rows
}

// in returns the table with the rows taken in.
func (r Rows[V]) applyTo(table map[string]V) map[string]V {
	if len(r.Put) == 0 && len(r.Remove) == 0 {
		return table
	}
	table = cloneMap(table)
	maps.Copy(table, r.Put)
	for _, name := range r.Remove {
		delete(table, name)
	}
	return table
}

// PatchFor returns the command that takes an entry's copy, which lacks the changes, to
// the board's revision.
func (b *Board) PatchFor(changes []Change) ([]byte, error) {
	p := &Patch{Revision: b.Revision, ClusterID: b.ClusterID, CallersMillis: b.CallersMillis}
	p.Groups = b.groupRows(unionNames(changes, func(c Change) []string { return c.groups }))
	p.Leaving = b.leavingVMRows(unionNames(changes, func(c Change) []string { return c.leavingVMs }))
	p.Services = selectRows(b.Services, unionNames(changes, func(c Change) []string { return c.services }))
	p.Entries = selectRows(b.Entries, unionNames(changes, func(c Change) []string { return c.entries }))
	p.Suspects = selectRows(b.Suspects, unionNames(changes, func(c Change) []string { return c.suspects }))
	p.Quarantines = selectRows(b.Quarantines, unionNames(changes, func(c Change) []string { return c.quarantines }))
	p.Waits = selectRows(b.Waits, unionNames(changes, func(c Change) []string { return c.waits }))
	p.RateLimits = selectRows(b.RateLimits, unionNames(changes, func(c Change) []string { return c.rateLimits }))
	p.Evacuations = selectRows(b.Evacuations, unionNames(changes, func(c Change) []string { return c.evacuations }))
	p.ColdServers = selectRows(b.ColdServers, unionNames(changes, func(c Change) []string { return c.coldServers }))
	switch {
	case slices.ContainsFunc(changes, func(c Change) bool { return c.otherConfigChanged }):
		config := b.Config
		config.Document = nil
		p.Config = &config
	case slices.ContainsFunc(changes, func(c Change) bool { return c.versionChanged }):
		p.Version = b.versionPatch(changes)
	}
	data, err := Encode(p)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return data, nil
}

func unionNames(changes []Change, table func(Change) []string) map[string]bool {
	names := make(map[string]bool)
	for _, c := range changes {
		for _, name := range table(c) {
			names[name] = true
		}
	}
	return names
}

func (b *Board) groupRows(names map[string]bool) Rows[Group] {
	table := make(map[string]Group, len(names))
	for id := range names {
		if row, ok := groupForEntries(b.Groups[id]); ok {
			table[id] = row
		}
	}
	return selectRows(table, names)
}

func (b *Board) leavingVMRows(names map[string]bool) Rows[VM] {
	table := make(map[string]VM, len(names))
	for id := range names {
		if b.VMs[id].Leaving {
			table[id] = leavingVMRow(id)
		}
	}
	return selectRows(table, names)
}

func (b *Board) versionPatch(changes []Change) *VersionPatch {
	c := &b.Config
	return &VersionPatch{
		Revision: c.Revision, Version: c.Version, Limits: c.Limits,
		Routes:     selectRows(c.Routes, unionNames(changes, func(c Change) []string { return c.routes })),
		Services:   selectRows(c.Services, unionNames(changes, func(c Change) []string { return c.serviceSpecs })),
		Workspaces: selectRows(c.Workspaces, unionNames(changes, func(c Change) []string { return c.workspaces })),
	}
}

// apply takes the changes in. The document as the operator sent it is not among
// them; only control processes keep it. The revision is left one short, as each
// command adds one.
func (p Patch) apply(d *draft) (any, bool) {
	d.ClusterID, d.Revision = p.ClusterID, p.Revision-1
	d.Groups, d.VMs = p.Groups.applyTo(d.Groups), p.Leaving.applyTo(d.VMs)
	d.Services, d.Entries = p.Services.applyTo(d.Services), p.Entries.applyTo(d.Entries)
	d.Suspects, d.Quarantines = p.Suspects.applyTo(d.Suspects), p.Quarantines.applyTo(d.Quarantines)
	d.Waits, d.RateLimits = p.Waits.applyTo(d.Waits), p.RateLimits.applyTo(d.RateLimits)
	d.Evacuations, d.ColdServers = p.Evacuations.applyTo(d.Evacuations), p.ColdServers.applyTo(d.ColdServers)
	d.CallersMillis = p.CallersMillis
	if p.Config != nil {
		d.Config = p.Config.clone()
	}
	if p.Version != nil {
		d.Config = p.Version.applyTo(d.Config)
	}
	return applied()
}

// in returns the configuration with the changes of a later version taken in.
func (p VersionPatch) applyTo(c Configuration) Configuration {
	next := c.clone()
	next.Revision, next.Version, next.Limits, next.Document = p.Revision, p.Version, p.Limits, nil
	next.Routes = p.Routes.applyTo(next.Routes)
	next.Services = p.Services.applyTo(next.Services)
	next.Workspaces = p.Workspaces.applyTo(next.Workspaces)
	next.Groups = groupSpecsOf(next.Services)
	return next
}

// MarshalJSON compresses a patch that is long: rows repeat their field names, and
// each goes to many entries.
func (p Patch) MarshalJSON() ([]byte, error) {
	plain, err := json.Marshal(plainPatch(p))
	if err != nil || len(plain) < minCompressBytes {
		return plain, errors.Trace(err)
	}
	body, err := compress(plain)
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err := json.Marshal(compressedCommand{Packed: body})
	return data, errors.Trace(err)
}

// minCompressBytes is the length in bytes from which a patch is worth compressing: below it
// the packets are few anyway.
const minCompressBytes = 2048

// plainPatch has the fields of a Patch and the ordinary JSON form.
type plainPatch Patch

// UnmarshalJSON reads either form.
func (p *Patch) UnmarshalJSON(data []byte) error {
	var c compressedCommand
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Trace(err)
	}
	if len(c.Packed) > 0 {
		plain, err := decompress(c.Packed)
		if err != nil {
			return errors.Trace(err)
		}
		data = plain
	}
	return errors.Trace(json.Unmarshal(data, (*plainPatch)(p)))
}
