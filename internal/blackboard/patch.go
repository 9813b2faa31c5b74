package blackboard

import (
	"reflect"

	"github.com/juju/errors"
)

// PatchConfiguration is what one whole configuration changed of the one before.
// It stands in no log: the leader makes it for entries that hold the board just
// before the change.
//
// Load: operators change one route of a thousand, several times a second. Sent
// whole, a configuration of 1,480 routes filled the leader's link for 0.4 s with
// its copies for 85 entries; heartbeats of the consensus waited behind them and
// the leader lost its office again and again.
type PatchConfiguration struct {
	Version uint64       `json:"version"`
	Limits  CallerLimits `json:"limits"`

	Routes           []Route       `json:"routes,omitempty"`
	RemoveRoutes     []string      `json:"remove_routes,omitempty"`
	Services         []ServiceSpec `json:"services,omitempty"`
	RemoveServices   []string      `json:"remove_services,omitempty"`
	Workspaces       []Workspace   `json:"workspaces,omitempty"`
	RemoveWorkspaces []string      `json:"remove_workspaces,omitempty"`
}

// apply takes the changes in. The document as the operator sent it is not among
// them; only control processes keep it.
func (c PatchConfiguration) apply(d *draft) (any, bool) {
	next := d.Config.clone()
	next.Version, next.Limits, next.Document = c.Version, c.Limits, nil
	patchRows(next.Routes, c.Routes, c.RemoveRoutes, func(r Route) string { return r.Name })
	patchRows(next.Services, c.Services, c.RemoveServices, func(s ServiceSpec) string { return s.Name })
	patchRows(next.Workspaces, c.Workspaces, c.RemoveWorkspaces, func(w Workspace) string { return w.Name })
	next.Groups = groupsOf(next.Services)
	next.Revision = d.Config.Revision + 1
	d.Config = next
	return applied()
}

// patchRows puts and removes rows of one table.
func patchRows[V any](table map[string]V, put []V, remove []string, name func(V) string) {
	for _, row := range put {
		table[name(row)] = row
	}
	for _, gone := range remove {
		delete(table, gone)
	}
}

// ForEntries returns the command that takes an entry's copy of the board from
// before to after, where command did so in the log.
func ForEntries(before, after *Board, command []byte) []byte {
	if after.Config.Version == before.Config.Version {
		return command
	}
	from, to := &before.Config, &after.Config
	patch := &PatchConfiguration{Version: to.Version, Limits: to.Limits}
	patch.Routes, patch.RemoveRoutes = changedRows(from.Routes, to.Routes)
	patch.Services, patch.RemoveServices = changedRows(from.Services, to.Services)
	patch.Workspaces, patch.RemoveWorkspaces = changedRows(from.Workspaces, to.Workspaces)
	data, err := Encode(patch)
	if err != nil {
		// The command of the log takes an entry there as well, only with more bytes.
		return command
	}
	return data
}

// changedRows returns the rows of a table that are new or differ, and the names
// of those that are gone.
func changedRows[V any](from, to map[string]V) (put []V, remove []string) {
	for _, name := range sortedKeys(to) {
		old, known := from[name]
		if !known || !reflect.DeepEqual(old, to[name]) {
			put = append(put, to[name])
		}
	}
	for _, name := range sortedKeys(from) {
		if _, kept := to[name]; !kept {
			remove = append(remove, name)
		}
	}
	return put, remove
}

// EncodeForEntries returns the board as a snapshot without the document that
// only control processes keep.
func (b *Board) EncodeForEntries() ([]byte, error) {
	copied := *b
	copied.Config.Document = nil
	data, err := copied.Encode()
	return data, errors.Trace(err)
}
