package blackboard

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/juju/errors"
)

// Change names the rows of entry copies that one command changed.
type Change struct {
	groups, leavingVMs, services, entries, suspects, quarantines, waits    []string
	rateLimits, evacuations, coldServers, routes, serviceSpecs, workspaces []string
	// versionChanged is set if ReplaceConfiguration changed the configuration,
	// otherConfigChanged if another command did. callersChanged is set if the first request of
	// any caller was recorded.
	versionChanged, otherConfigChanged, callersChanged bool
}

// AffectsEntries reports whether the change affects an entry copy beyond its revision.
func (c Change) AffectsEntries() bool {
	rows := len(c.groups) + len(c.leavingVMs) + len(c.services) + len(c.entries) + len(c.suspects) + len(c.quarantines) + len(c.waits) +
		len(c.rateLimits) + len(c.evacuations) + len(c.coldServers)
	return rows > 0 || c.versionChanged || c.otherConfigChanged || c.callersChanged
}

// changeBetween returns the difference between a draft and the board that the draft started
// from.
func changeBetween(before *Board, d *draft) Change {
	c := Change{
		services:       changedRows(before.Services, d.Services),
		entries:        changedRows(before.Entries, d.Entries),
		suspects:       changedRowsBy(before.Suspects, d.Suspects, Suspect.equal),
		quarantines:    changedRows(before.Quarantines, d.Quarantines),
		waits:          changedRows(before.CallerTimeouts, d.CallerTimeouts),
		rateLimits:     changedRows(before.RateLimits, d.RateLimits),
		evacuations:    changedRows(before.Evacuations, d.Evacuations),
		coldServers:    changedRows(before.ColdServers, d.ColdServers),
		callersChanged: before.FirstRequestMillis != d.FirstRequestMillis,
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

// changedRows returns the names of rows that were added, modified or removed.
func changedRows[V any](from, to map[string]V) []string {
	return changedRowsBy(from, to, func(a, b V) bool { return reflect.DeepEqual(a, b) })
}

// changedRowsBy is changedRows with a comparison of rows. Large tables that change in a storm need
// one without reflection.
func changedRowsBy[V any](from, to map[string]V, equal func(a, b V) bool) []string {
	if reflect.ValueOf(from).Pointer() == reflect.ValueOf(to).Pointer() {
		return nil
	}
	var names []string
	for name, row := range to {
		old, known := from[name]
		if !known || !equal(old, row) {
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

// Patch brings an entry copy to a later revision. It is never written to the log: the leader
// builds it from the current values of the rows that have changed since the entry's revision. A
// row that changed several times is therefore sent once.
//
// Operators change one route of a thousand, several times a second. With complete copies, the
// traffic to all entries would fill the leader's link and delay the consensus heartbeats.
type Patch struct {
	// Revision is the board revision after the patch.
	Revision  uint64 `json:"revision"`
	ClusterID string `json:"cluster_id"`

	Groups         Rows[Group]           `json:"groups,omitzero"`
	Leaving        Rows[VM]              `json:"leaving,omitzero"`
	Services       Rows[ServiceInstance] `json:"services,omitzero"`
	Entries        Rows[Entry]           `json:"entries,omitzero"`
	Suspects       Rows[Suspect]         `json:"suspects,omitzero"`
	Quarantines    Rows[Quarantine]      `json:"quarantines,omitzero"`
	CallerTimeouts Rows[int64]           `json:"waits,omitzero"`
	RateLimits     Rows[RateLimit]       `json:"rate_limits,omitzero"`
	Evacuations    Rows[Evacuation]      `json:"evacuations,omitzero"`
	ColdServers    Rows[ColdServer]      `json:"cold_servers,omitzero"`
	// FirstRequestMillis is the value of Board.FirstRequestMillis.
	FirstRequestMillis int64 `json:"callers_ms,omitempty"`

	// Version is set if ReplaceConfiguration changed the configuration. Config is set instead if
	// other commands changed it.
	Version *VersionPatch  `json:"version,omitempty"`
	Config  *Configuration `json:"config,omitempty"`
}

// VersionPatch is the difference between two versions of the configuration.
type VersionPatch struct {
	// Revision is the configuration revision, Version the operators' version number.
	Revision   uint64            `json:"revision"`
	Version    uint64            `json:"version"`
	Limits     CallerLimits      `json:"limits"`
	Routes     Rows[Route]       `json:"routes,omitzero"`
	Services   Rows[ServiceSpec] `json:"services,omitzero"`
	Workspaces Rows[Workspace]   `json:"workspaces,omitzero"`
}

// Rows holds the rows of a table to write, and the names of rows to remove.
type Rows[V any] struct {
	Put    map[string]V `json:"put,omitempty"`
	Remove []string     `json:"remove,omitempty"`
}

// selectRows returns the named rows of a table. Names without a row become removals.
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

// applyTo returns the table after the writes and removals. It does not modify its argument.
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

// PatchFor returns the encoded Patch that brings an entry copy that lacks the given changes to
// the board's revision.
func (b *Board) PatchFor(changes []Change) ([]byte, error) {
	p := &Patch{Revision: b.Revision, ClusterID: b.ClusterID, FirstRequestMillis: b.FirstRequestMillis}
	p.Groups = b.groupRows(unionNames(changes, func(c Change) []string { return c.groups }))
	p.Leaving = b.leavingVMRows(unionNames(changes, func(c Change) []string { return c.leavingVMs }))
	p.Services = selectRows(b.Services, unionNames(changes, func(c Change) []string { return c.services }))
	p.Entries = selectRows(b.Entries, unionNames(changes, func(c Change) []string { return c.entries }))
	p.Suspects = selectRows(b.Suspects, unionNames(changes, func(c Change) []string { return c.suspects }))
	p.Quarantines = selectRows(b.Quarantines, unionNames(changes, func(c Change) []string { return c.quarantines }))
	p.CallerTimeouts = selectRows(b.CallerTimeouts, unionNames(changes, func(c Change) []string { return c.waits }))
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

// unionNames returns the row names of one table in all changes.
func unionNames(changes []Change, table func(Change) []string) map[string]bool {
	names := make(map[string]bool)
	for _, c := range changes {
		for _, name := range table(c) {
			names[name] = true
		}
	}
	return names
}

// groupRows returns the named groups as entry copies contain them.
func (b *Board) groupRows(names map[string]bool) Rows[Group] {
	table := make(map[string]Group, len(names))
	for id := range names {
		if row, ok := groupForEntries(b.Groups[id]); ok {
			table[id] = row
		}
	}
	return selectRows(table, names)
}

// leavingVMRows returns the named VMs as entry copies contain them.
func (b *Board) leavingVMRows(names map[string]bool) Rows[VM] {
	table := make(map[string]VM, len(names))
	for id := range names {
		if b.VMs[id].Leaving {
			table[id] = leavingVMRow(id)
		}
	}
	return selectRows(table, names)
}

// versionPatch returns the changed rows of the configuration with their current values.
func (b *Board) versionPatch(changes []Change) *VersionPatch {
	c := &b.Config
	return &VersionPatch{
		Revision: c.Revision, Version: c.Version, Limits: c.Limits,
		Routes:     selectRows(c.Routes, unionNames(changes, func(c Change) []string { return c.routes })),
		Services:   selectRows(c.Services, unionNames(changes, func(c Change) []string { return c.serviceSpecs })),
		Workspaces: selectRows(c.Workspaces, unionNames(changes, func(c Change) []string { return c.workspaces })),
	}
}

// apply writes the rows of the patch. A patch omits Configuration.Document, which only control
// processes keep. apply sets the revision to one less than the target, because the caller
// increments it after each command.
func (p Patch) apply(d *draft) (any, bool) {
	d.ClusterID, d.Revision = p.ClusterID, p.Revision-1
	d.Groups, d.VMs = p.Groups.applyTo(d.Groups), p.Leaving.applyTo(d.VMs)
	d.Services, d.Entries = p.Services.applyTo(d.Services), p.Entries.applyTo(d.Entries)
	d.Suspects, d.Quarantines = p.Suspects.applyTo(d.Suspects), p.Quarantines.applyTo(d.Quarantines)
	d.CallerTimeouts, d.RateLimits = p.CallerTimeouts.applyTo(d.CallerTimeouts), p.RateLimits.applyTo(d.RateLimits)
	d.Evacuations, d.ColdServers = p.Evacuations.applyTo(d.Evacuations), p.ColdServers.applyTo(d.ColdServers)
	d.FirstRequestMillis = p.FirstRequestMillis
	if p.Config != nil {
		d.Config = p.Config.clone()
	}
	if p.Version != nil {
		d.Config = p.Version.applyTo(d.Config)
	}
	return applied()
}

// applyTo returns the configuration after the patch.
func (p VersionPatch) applyTo(c Configuration) Configuration {
	next := c.clone()
	next.Revision, next.Version, next.Limits, next.Document = p.Revision, p.Version, p.Limits, nil
	next.Routes = p.Routes.applyTo(next.Routes)
	next.Services = p.Services.applyTo(next.Services)
	next.Workspaces = p.Workspaces.applyTo(next.Workspaces)
	next.Groups = groupSpecsOf(next.Services)
	return next
}

// MarshalJSON compresses a long patch: rows repeat their field names, and each row goes to many
// entries.
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

// minCompressBytes is the smallest size of a patch that is compressed. A smaller patch takes few
// packets anyway.
const minCompressBytes = 2048

// plainPatch has the fields of Patch and the default JSON encoding.
type plainPatch Patch

// UnmarshalJSON decodes the compressed and the plain form.
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
