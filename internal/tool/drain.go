package tool

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// defaultDrainWait is how long drain watches: the longest request in flight
// may take as long as a request's deadline, and groups release after it.
const defaultDrainWait = 5 * time.Minute

// drainTarget is what a drain or undrain names.
type drainTarget struct{ kind, name string }

const (
	kindVM    = "vm"
	kindGroup = "group"
)

func drainCommand() command {
	return command{
		name:      "drain",
		arguments: "vm NAME | group NAME",
		summary:   "Take a VM or a serving group out of service without cutting off a request",
		details: `A replacement forms first where free VMs allow it; then new work stops, requests in
flight finish, and the group is released. Prints progress and returns when nothing
is left, for at most -done-wait. A VM's whole group goes with it, as a group serves
with all its members or not at all. For a group, NAME is the group (all its replicas)
or one replica, such as memos-0. Drains last until undrain.

Example: citronstep drain vm engine-07
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			f := &changeFlags{}
			f.register(set)
			wait := set.Duration("done-wait", defaultDrainWait, "how long to watch until nothing is left; 0 returns once the drain is in force")
			return func(i *invocation) error { return i.drain(f, *wait) }
		},
	}
}

func undrainCommand() command {
	return command{
		name:      "undrain",
		arguments: "vm NAME | group NAME",
		summary:   "Give a drained VM or serving group back",
		details: `The VM may go into groups again, the group forms again. For a group, prints
progress until all wanted replicas serve, for at most -done-wait.

Example: citronstep undrain vm engine-07
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			f := &changeFlags{}
			f.register(set)
			wait := set.Duration("done-wait", defaultFormWait, "how long to watch a group form; 0 returns once the change is in force")
			return func(i *invocation) error { return i.undrain(f, *wait) }
		},
	}
}

func (i *invocation) drainTarget() (drainTarget, error) {
	if len(i.args) != 2 || (i.args[0] != kindVM && i.args[0] != kindGroup) {
		return drainTarget{}, i.usage()
	}
	return drainTarget{kind: i.args[0], name: i.args[1]}, nil
}

func (i *invocation) drain(f *changeFlags, wait time.Duration) error {
	target, err := i.drainTarget()
	if err != nil {
		return err
	}
	current, err := i.configuration()
	if err != nil {
		return err
	}
	s, err := i.status()
	if err != nil {
		return err
	}
	change := blackboard.ConfigChange{DrainVMs: []string{target.name}}
	drained, known := current.DrainedVMs, vmNames(s)
	if target.kind == kindGroup {
		change = blackboard.ConfigChange{DrainGroups: []string{target.name}}
		drained, known = current.DrainedGroups, append(sortedKeys(current.Groups), replicaIDs(s)...)
	}
	if !slices.Contains(known, target.name) && !drained[target.name] {
		return notFound(target.kind, target.name, strings.Join(known, ", "))
	}
	if drained[target.name] && f.changeID == "" {
		err = i.reportUnchanged(current)
	} else {
		err = i.change(f, current, change)
	}
	if err != nil || wait <= 0 {
		return err
	}
	if err := i.awaitDrained(wait, target); err != nil {
		return err
	}
	if !i.json {
		i.printf("%s %s is drained: it holds no group and no request", target.kind, target.name)
	}
	return nil
}

func (i *invocation) awaitDrained(wait time.Duration, target drainTarget) error {
	return i.await(wait, func() (bool, string, error) {
		s, err := i.status()
		if err != nil {
			return false, "", err
		}
		left := unreleased(s, target)
		return len(left) == 0, fmt.Sprintf("%s %s: waiting for %s", target.kind, target.name, strings.Join(left, ", ")), nil
	})
}

// holding lists what is still to be released of a draining VM or group.
func unreleased(s adminapi.Status, target drainTarget) []string {
	var left []string
	for _, v := range s.VMs {
		if target.kind == kindVM && v.ID == target.name && v.Group != "" {
			left = append(left, "group "+v.Group+" on VM "+v.ID)
		}
	}
	for _, g := range s.Groups {
		named := g.Spec == target.name || g.ID == target.name
		if target.kind == kindGroup && named && g.State != blackboard.Released {
			left = append(left, g.ID+" ("+string(g.State)+")")
		}
	}
	return left
}

func (i *invocation) undrain(f *changeFlags, wait time.Duration) error {
	target, err := i.drainTarget()
	if err != nil {
		return err
	}
	current, err := i.configuration()
	if err != nil {
		return err
	}
	change := blackboard.ConfigChange{UndrainVMs: []string{target.name}}
	drained := current.DrainedVMs
	if target.kind == kindGroup {
		change = blackboard.ConfigChange{UndrainGroups: []string{target.name}}
		drained = current.DrainedGroups
	}
	if !drained[target.name] && f.changeID == "" {
		return notFound("drained "+target.kind, target.name, strings.Join(sortedKeys(drained), ", "))
	}
	if err := i.change(f, current, change); err != nil {
		return err
	}
	if _, isGroup := current.Groups[target.name]; !isGroup || target.kind == kindVM || wait <= 0 {
		return nil
	}
	return i.awaitServing(wait, target.name, current.GroupReplicas(target.name))
}

func replicaIDs(s adminapi.Status) []string {
	ids := make([]string, len(s.Groups))
	for i, g := range s.Groups {
		ids[i] = g.ID
	}
	return ids
}

func vmNames(s adminapi.Status) []string {
	names := make([]string, len(s.VMs))
	for i, v := range s.VMs {
		names[i] = v.ID
	}
	return names
}
