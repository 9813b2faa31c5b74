package tool

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// defaultFormWait is how long group set and group wait poll while a group forms. Weights come
// from a rate-limited store, so forming takes minutes rather than seconds.
const defaultFormWait = 10 * time.Minute

func groupCommand() command {
	return command{
		name:      "group",
		arguments: "list | set NAME | remove NAME | wait NAME",
		summary:   "List, add, change or remove serving groups, or wait until one serves",
		details: `Each replica of a serving group runs on vms-per-replica VMs of one fabric domain. set
adds the group, or changes the fields whose flags are given. wait prints progress
until all wanted replicas serve, for at most -form-wait.

Example: citronstep group set memos -model memo-70b -replicas 2 -vms-per-replica 4
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			g := &groupFlags{set: set}
			g.register()
			return func(i *invocation) error { return i.group(g) }
		},
	}
}

type groupFlags struct {
	changeFlags
	set      *flag.FlagSet
	spec     blackboard.GroupSpec
	formWait time.Duration
}

func (f *groupFlags) register() {
	f.changeFlags.register(f.set)
	f.set.StringVar(&f.spec.Model, "model", "", "model that the group serves")
	f.set.IntVar(&f.spec.Replicas, "replicas", 1, "wanted number of replicas")
	f.set.IntVar(&f.spec.VMsPerReplica, "vms-per-replica", 1, "number of VMs of one replica")
	f.set.IntVar(&f.spec.Accelerators, "accelerators", 0, "accelerators that each VM must hold; 0 accepts any")
	f.set.IntVar(&f.spec.Worth, "worth", 0, "priority (worth) against other groups in forming and repair")
	f.set.StringVar(&f.spec.FabricDomain, "fabric-domain", "", "pin the group to one fabric domain")
	f.set.DurationVar(&f.formWait, "form-wait", defaultFormWait, "how long wait polls until the group serves")
}

func (i *invocation) group(g *groupFlags) error {
	switch {
	case len(i.args) == 1 && i.args[0] == "list":
		return i.listGroups()
	case len(i.args) == 2 && i.args[0] == "set":
		return i.setGroup(g, i.args[1])
	case len(i.args) == 2 && i.args[0] == "remove":
		return i.removeGroup(&g.changeFlags, i.args[1])
	case len(i.args) == 2 && i.args[0] == "wait":
		return i.waitForGroup(g, i.args[1])
	}
	return i.usage()
}

// groupRow is the JSON form of a group in a list.
type groupRow struct {
	blackboard.GroupSpec
	// Wanted counts the replicas that the active preset asks for, Serving the replicas that
	// serve now.
	Wanted  int  `json:"wanted"`
	Serving int  `json:"serving"`
	Drained bool `json:"drained"`
}

func (i *invocation) listGroups() error {
	current, err := i.configuration()
	if err != nil {
		return err
	}
	s, err := i.status()
	if err != nil {
		return err
	}
	rows := []groupRow{}
	t := newTable("GROUP", "MODEL", "WANTED", "SERVING", "VMS A REPLICA", "WORTH", "DOMAIN", "DRAINED")
	for _, name := range sortedKeys(current.Groups) {
		r := groupRow{
			GroupSpec: current.Groups[name], Wanted: current.GroupReplicas(name),
			Serving: serving(s, name), Drained: current.DrainedGroups[name],
		}
		rows = append(rows, r)
		t.add(name, r.Model, strconv.Itoa(r.Wanted), strconv.Itoa(r.Serving), strconv.Itoa(r.VMsPerReplica),
			strconv.Itoa(current.GroupWorth(name)), r.FabricDomain, strconv.FormatBool(r.Drained))
	}
	if i.json {
		return i.printJSON(rows)
	}
	t.write(i.out)
	return nil
}

// serving counts the serving replicas of a group.
func serving(s adminapi.Status, spec string) int {
	n := 0
	for _, g := range s.Groups {
		if g.Spec == spec && g.State == blackboard.Serving {
			n++
		}
	}
	return n
}

func (i *invocation) setGroup(f *groupFlags, name string) error {
	if !namePattern.MatchString(name) {
		return usagef("group %q: the name must be %s", name, allowedName)
	}
	current, err := i.configuration()
	if err != nil {
		return err
	}
	old, known := current.Groups[name]
	next := f.edit(old, known)
	next.Name = name
	if next.Model == "" {
		return usagef("group %s does not exist yet: give -model", name)
	}
	if next.Replicas < 0 || next.VMsPerReplica < 1 || next.Accelerators < 0 {
		return usagef("-replicas and -accelerators must be 0 or more, -vms-per-replica must be 1 or more")
	}
	if known && next == old && f.changeID == "" {
		return i.reportUnchanged(current)
	}
	return i.change(&f.changeFlags, current, blackboard.ConfigChange{Groups: []blackboard.GroupSpec{next}})
}

// edit returns a new group built from all flags, or a known group with the fields whose flags
// are given.
func (f *groupFlags) edit(g blackboard.GroupSpec, known bool) blackboard.GroupSpec {
	if !known {
		return f.spec
	}
	f.set.Visit(func(given *flag.Flag) {
		switch given.Name {
		case "model":
			g.Model = f.spec.Model
		case "replicas":
			g.Replicas = f.spec.Replicas
		case "vms-per-replica":
			g.VMsPerReplica = f.spec.VMsPerReplica
		case "accelerators":
			g.Accelerators = f.spec.Accelerators
		case "worth":
			g.Worth = f.spec.Worth
		case "fabric-domain":
			g.FabricDomain = f.spec.FabricDomain
		}
	})
	return g
}

func (i *invocation) removeGroup(f *changeFlags, name string) error {
	current, err := i.configuration()
	if err != nil {
		return err
	}
	if _, ok := current.Groups[name]; !ok && f.changeID == "" {
		return notFound("group", name, strings.Join(sortedKeys(current.Groups), ", "))
	}
	return i.change(f, current, blackboard.ConfigChange{RemoveGroups: []string{name}})
}

func (i *invocation) waitForGroup(f *groupFlags, name string) error {
	current, err := i.configuration()
	if err != nil {
		return err
	}
	if _, ok := current.Groups[name]; !ok {
		return notFound("group", name, strings.Join(sortedKeys(current.Groups), ", "))
	}
	wanted := current.GroupReplicas(name)
	if err := i.awaitServing(f.formWait, name, wanted); err != nil {
		return err
	}
	if i.json {
		return i.printJSON(map[string]int{"wanted": wanted, "serving": wanted})
	}
	i.printf("group %s serves with %d of %d replicas", name, wanted, wanted)
	return nil
}

// awaitServing polls until the wanted number of replicas serve.
func (i *invocation) awaitServing(wait time.Duration, name string, wanted int) error {
	return i.await(wait, func() (bool, string, error) {
		s, err := i.status()
		if err != nil {
			return false, "", err
		}
		n := serving(s, name)
		return n >= wanted, fmt.Sprintf("group %s: %d of %d replicas serve%s", name, n, wanted, otherStates(s, name)), nil
	})
}

// otherStates lists the replicas of a group that do not serve, with state and reason.
func otherStates(s adminapi.Status, spec string) string {
	var b strings.Builder
	for _, g := range s.Groups {
		if g.Spec != spec || g.State == blackboard.Serving || g.State == blackboard.Released {
			continue
		}
		b.WriteString("; " + g.ID + " is " + string(g.State))
		if g.Reason != "" {
			b.WriteString(" (" + g.Reason + ")")
		}
	}
	return b.String()
}
