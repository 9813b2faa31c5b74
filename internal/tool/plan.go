package tool

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// fieldChange is a field that a change would alter, with its values as JSON.
type fieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// difference is one row of the configuration that a change would add, alter or remove.
type difference struct {
	// Kind is workspace, class, group, preset or active_preset.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Action is add, change or remove.
	Action string        `json:"action"`
	Fields []fieldChange `json:"fields,omitempty"`
}

// plan is the change that brings a configuration in line with a document.
type plan struct {
	Revision    uint64       `json:"revision"`
	Differences []difference `json:"differences"`
	change      blackboard.ConfigChange
}

// makePlan compares a document with the current configuration. Rows that the document lacks
// stay, unless prune is set.
func makePlan(current blackboard.Configuration, d *loadedDocument, prune bool) (*plan, error) {
	p := &plan{Revision: current.Revision, Differences: []difference{}}
	workspaces := make([]blackboard.Workspace, len(d.Workspaces))
	for i, w := range d.Workspaces {
		workspaces[i] = w.blackboardWorkspace()
	}
	c := &p.change
	c.Workspaces, c.RemoveWorkspaces = diffTable(p, "workspace", current.Workspaces, workspaces, nameOfWorkspace, prune)
	c.Classes, c.RemoveClasses = diffTable(p, "class", current.Classes, d.Classes, nameOfClass, prune)
	c.Groups, c.RemoveGroups = diffTable(p, "group", current.Groups, d.Groups, nameOfGroup, prune)
	c.Presets, c.RemovePresets = diffTable(p, "preset", current.Presets, d.Presets, nameOfPreset, prune)
	if d.ActivePreset != "" && d.ActivePreset != current.ActivePreset {
		c.UsePreset = d.ActivePreset
		p.Differences = append(p.Differences, difference{
			Kind: "active_preset", Name: d.ActivePreset, Action: "change",
			Fields: []fieldChange{{Field: "active_preset", From: jsonText(current.ActivePreset), To: jsonText(d.ActivePreset)}},
		})
	}
	d.checkReferences(merge(current, *c))
	return p, d.source.Faults().ErrorOrNil()
}

func nameOfWorkspace(w blackboard.Workspace) string { return w.Name }
func nameOfClass(r blackboard.RequestClass) string  { return r.Name }
func nameOfGroup(g blackboard.GroupSpec) string     { return g.Name }
func nameOfPreset(p blackboard.Preset) string       { return p.Name }

// diffTable adds the differences of one table to the plan and returns the rows to put and the
// names to remove.
func diffTable[V any](p *plan, kind string, have map[string]V, want []V, name func(V) string, prune bool) (put []V, remove []string) {
	wanted := make(map[string]bool, len(want))
	for _, row := range want {
		wanted[name(row)] = true
		old, known := have[name(row)]
		fields := changedFields(old, row)
		if known && len(fields) == 0 {
			continue
		}
		d := difference{Kind: kind, Name: name(row), Action: "change", Fields: fields}
		if !known {
			d.Action = "add"
		}
		p.Differences = append(p.Differences, d)
		put = append(put, row)
	}
	if !prune {
		return put, nil
	}
	for _, old := range sortedKeys(have) {
		if !wanted[old] {
			p.Differences = append(p.Differences, difference{Kind: kind, Name: old, Action: "remove"})
			remove = append(remove, old)
		}
	}
	return put, remove
}

// changedFields lists the fields in which two rows differ.
func changedFields(from, to any) []fieldChange {
	var changes []fieldChange
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		old, next := jsonText(a.Field(i).Interface()), jsonText(b.Field(i).Interface())
		if old != next {
			changes = append(changes, fieldChange{Field: a.Type().Field(i).Tag.Get("toml"), From: old, To: next})
		}
	}
	return changes
}

// jsonText returns a value as JSON. A nil map counts as an empty one.
func jsonText(v any) string {
	if r := reflect.ValueOf(v); r.Kind() == reflect.Map && r.Len() == 0 {
		return "{}"
	}
	data, err := json.Marshal(v)
	if err != nil {
		return "?"
	}
	return string(data)
}

// merge returns the tables that the configuration would have after a change.
func merge(current blackboard.Configuration, c blackboard.ConfigChange) blackboard.Configuration {
	return blackboard.Configuration{
		Workspaces: mergeTable(current.Workspaces, c.Workspaces, c.RemoveWorkspaces, nameOfWorkspace),
		Classes:    mergeTable(current.Classes, c.Classes, c.RemoveClasses, nameOfClass),
		Groups:     mergeTable(current.Groups, c.Groups, c.RemoveGroups, nameOfGroup),
		Presets:    mergeTable(current.Presets, c.Presets, c.RemovePresets, nameOfPreset),
	}
}

func mergeTable[V any](have map[string]V, put []V, remove []string, name func(V) string) map[string]V {
	merged := make(map[string]V, len(have)+len(put))
	for key, row := range have {
		merged[key] = row
	}
	for _, row := range put {
		merged[name(row)] = row
	}
	for _, key := range remove {
		delete(merged, key)
	}
	return merged
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
