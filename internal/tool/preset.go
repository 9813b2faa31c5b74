package tool

import (
	"flag"
	"fmt"
	"strings"

	"github.com/citronstep/citronstep/internal/blackboard"
)

func presetCommand() command {
	return command{
		name:      "preset",
		arguments: "list | use NAME",
		summary:   "List the presets, or make one active",
		details: `Exactly one preset is active at any time: use replaces the active preset in one
atomic change. Presets are created with apply.

Example: citronstep preset use peak
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			f := &changeFlags{}
			f.register(set)
			return func(i *invocation) error { return i.preset(f) }
		},
	}
}

func (i *invocation) preset(f *changeFlags) error {
	switch {
	case len(i.args) == 1 && i.args[0] == "list":
		return i.listPresets()
	case len(i.args) == 2 && i.args[0] == "use":
		return i.usePreset(f, i.args[1])
	}
	return i.usage()
}

// presetRow is the JSON form of a preset in a list.
type presetRow struct {
	InForce bool `json:"in_force"`
	blackboard.Preset
}

func (i *invocation) listPresets() error {
	current, err := i.configuration()
	if err != nil {
		return err
	}
	rows := []presetRow{}
	t := newTable("PRESET", "IN FORCE", "CLASS WORTH", "WORKSPACE WORTH", "GROUP WORTH", "GROUP REPLICAS")
	for _, name := range sortedKeys(current.Presets) {
		p := current.Presets[name]
		inForce := name == current.ActivePreset
		rows = append(rows, presetRow{inForce, p})
		mark := "no"
		if inForce {
			mark = "yes"
		}
		t.add(name, mark, pairs(p.ClassWorth), pairs(p.WorkspaceWorth), pairs(p.GroupWorth), pairs(p.GroupReplicas))
	}
	if i.json {
		return i.printJSON(rows)
	}
	t.write(i.out)
	return nil
}

func (i *invocation) usePreset(f *changeFlags, name string) error {
	current, err := i.configuration()
	if err != nil {
		return err
	}
	if _, ok := current.Presets[name]; !ok {
		return notFound("preset", name, strings.Join(sortedKeys(current.Presets), ", "))
	}
	if current.ActivePreset == name && f.changeID == "" {
		return i.reportUnchanged(current)
	}
	return i.change(f, current, blackboard.ConfigChange{UsePreset: name})
}

// pairs formats a map of worths or counts as name=value, ordered by name.
func pairs(m map[string]int) string {
	parts := make([]string, 0, len(m))
	for _, key := range sortedKeys(m) {
		parts = append(parts, fmt.Sprintf("%s=%d", key, m[key]))
	}
	return strings.Join(parts, ",")
}
