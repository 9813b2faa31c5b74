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

// defaultDrainWait is how long drain waits for completion. The longest request in flight may
// take as long as the request deadline, and the group is released only after it.
const defaultDrainWait = 5 * time.Minute

// drainTarget is the VM or group that a drain or undrain command names.
type drainTarget struct{ kind, name string }

const (
	kindVM    = "vm"
	kindGroup = "group"
)

func drainCommand() command {
	return command{
		name:      "drain",
		arguments: "vm NAME | group NAME",
		summary:   "Take a VM or a serving group out of service without interrupting requests",
		details: `A replacement forms first if there are enough free VMs. Then the group gets no new
requests, requests in flight finish, and the group is released. Prints progress and
returns when the drain is complete, or after -done-wait. Draining a VM drains its
whole group, because a group serves only with all its members. For a group, NAME is
the group (all its replicas) or one replica, such as memos-0. Drains last until undrain.

Example: citronstep drain vm engine-07
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			f := &changeFlags{}
			f.register(set)
			wait := set.Duration("done-wait", defaultDrainWait, "how long to wait until the drain is complete; 0 returns once the drain is in force")
			return func(i *invocation) error { return i.drain(f, *wait) }
		},
	}
}

func undrainCommand() command {
	return command{
		name:      "undrain",
		arguments: "vm NAME | group NAME",
		summary:   "Return a drained VM or serving group to service",
		details: `The VM can join groups again; a group forms again. For a group, prints progress
until all wanted replicas serve, for at most -done-wait.

Example: citronstep undrain vm engine-07
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			f := &changeFlags{}
			f.register(set)
			wait := set.Duration("done-wait", defaultFormWait, "how long to wait until the group serves; 0 returns once the change is in force")
			return func(i *invocation) error { return i.undrain(f, *wait) }
		},
	}
}

// drainTarget reads the target from the arguments.
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

// awaitDrained polls until the target holds nothing that must still be released.
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

// unreleased lists the groups that a draining VM or group must still release.
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
