package tool

import (
	"flag"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

func initCommand() command {
	return command{
		name:    "init",
		summary: "Initialise the cluster, once, before its first use",
		details: `Initialises (founds) the cluster of the control processes in peers.control. Run it
once, after the control processes have started with empty data folders, and name
the admin addresses of all of them. It waits until that many processes hold the
state: until then, the loss of one disk can lose the state. It is safe to run again:
an initialised cluster is not changed.

Example: citronstep init -configuration configuration.toml
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			path := set.String("configuration", "", "initial configuration document")
			wait := set.Duration("wait", defaultJoinWait, "how long to wait until as many control processes as there are addresses hold the state; 0 returns as soon as the cluster is founded")
			return func(i *invocation) error { return i.initCluster(*path, *wait) }
		},
	}
}

// initResult is the JSON form of the result of init.
type initResult struct {
	ClusterID      string `json:"cluster_id"`
	FoundedAlready bool   `json:"founded_already"`
	ConfigRevision uint64 `json:"config_revision"`
}

// defaultJoinWait is how long init waits for the other control processes. They join one after
// the other: each copies a small snapshot and is then promoted to voter.
const defaultJoinWait = time.Minute

// initCluster initialises the cluster, waits until all named control processes vote, and prints
// the result.
func (i *invocation) initCluster(path string, wait time.Duration) error {
	if err := i.requireArgs(0); err != nil {
		return err
	}
	var request adminapi.InitRequest
	if path != "" {
		initial, err := initialChange(path)
		if err != nil {
			return err
		}
		request.Initial = initial
	}
	before, err := i.status()
	if err != nil && !failure.Is(err, failure.TypeNotFounded) {
		return errors.Trace(err)
	}
	reply, err := i.initWithRetry(request)
	if err != nil {
		return errors.Trace(err)
	}
	current, err := i.configuration()
	if err != nil {
		return errors.Annotate(err, "cluster "+reply.ClusterID+" is founded, but its configuration could not be read")
	}
	if err := i.awaitVoters(wait, len(i.admin.addresses)); err != nil {
		return errors.Trace(err)
	}
	result := initResult{ClusterID: reply.ClusterID, FoundedAlready: before.Founded, ConfigRevision: current.Revision}
	if i.json {
		return i.printJSON(result)
	}
	if before.Founded {
		i.printf("cluster %s was founded already; its configuration stays at revision %d", reply.ClusterID, current.Revision)
		return nil
	}
	i.printf("cluster %s is founded; configuration revision %d", reply.ClusterID, current.Revision)
	return nil
}

// initWithRetry sends the init request until it succeeds, fails permanently, or the timeout
// passes.
//
// While a control process can't ask every other process whether that process already belongs to
// a cluster, it refuses init with a conflict. This conflict ends by itself shortly after an
// operator has started all processes.
func (i *invocation) initWithRetry(request adminapi.InitRequest) (adminapi.InitReply, error) {
	deadline := time.Now().Add(i.admin.timeout)
	shown := ""
	for {
		var reply adminapi.InitReply
		err := i.admin.post(i.ctx, adminapi.PathInit, request, &reply, "")
		if !failure.Is(err, failure.TypeConflict) || time.Now().After(deadline) {
			return reply, err
		}
		if text := err.Error(); text != shown {
			i.printProgress("not founded yet: %s", text)
			shown = text
		}
		select {
		case <-i.ctx.Done():
			return reply, err
		case <-time.After(retryDelay):
		}
	}
}

// awaitVoters waits until the wanted number of replicas vote. A new cluster has one voter;
// until the others have joined, accepted changes are stored on one disk only.
func (i *invocation) awaitVoters(wait time.Duration, wanted int) error {
	if wait <= 0 {
		return nil
	}
	return i.await(wait, func() (bool, string, error) {
		s, err := i.status()
		if err != nil {
			return false, "", err
		}
		voting := 0
		for _, r := range s.Replicas {
			if r.Role != roleLearner {
				voting++
			}
		}
		return voting >= wanted, fmt.Sprintf("founded; %d of %d control processes hold the state", voting, wanted), nil
	})
}

// initialChange returns the configuration change that creates the rows of the document at path.
func initialChange(path string) (blackboard.ConfigChange, error) {
	d, err := loadDocument(path)
	if err != nil {
		return blackboard.ConfigChange{}, err
	}
	p, err := makePlan(blackboard.Configuration{}, d, false)
	if err != nil {
		return blackboard.ConfigChange{}, err
	}
	p.change.ChangeID = uuid.NewString()
	p.change.Operator = operatorName()
	return p.change, nil
}

func applyCommand() command {
	return command{
		name:      "apply",
		arguments: "FILE.toml",
		summary:   "Bring the configuration in line with a document",
		details: `Sends the differences between the document and the configuration as one atomic
change and waits until it is in force everywhere. Rows that the document lacks
stay, unless -prune is given. When another operator's change came first, nothing
changes and the exit code is 3.

Example: citronstep apply configuration.toml
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			f := &changeFlags{}
			f.register(set)
			prune := set.Bool("prune", false, "remove workspaces, classes, groups and presets that the document lacks")
			return func(i *invocation) error { return i.apply(f, *prune) }
		},
	}
}

func (i *invocation) apply(f *changeFlags, prune bool) error {
	current, p, err := i.planOf(prune)
	if err != nil {
		return err
	}
	// The server must get a resend even if the first attempt is already in force: only the
	// server knows the outcome of that change id.
	if len(p.Differences) == 0 && f.changeID == "" {
		return i.reportUnchanged(current)
	}
	return i.change(f, current, p.change)
}

// planOf reads the document that the arguments name and compares it with the current
// configuration.
func (i *invocation) planOf(prune bool) (blackboard.Configuration, *plan, error) {
	if err := i.requireArgs(1); err != nil {
		return blackboard.Configuration{}, nil, err
	}
	d, err := loadDocument(i.args[0])
	if err != nil {
		return blackboard.Configuration{}, nil, err
	}
	current, err := i.configuration()
	if err != nil {
		return current, nil, err
	}
	p, err := makePlan(current, d, prune)
	return current, p, err
}

func diffCommand() command {
	return command{
		name:      "diff",
		arguments: "FILE.toml",
		summary:   "Show what apply would change",
		details: `Compares a document with the configuration and changes nothing. Give the
revision that it prints to apply's -expect, so that apply makes exactly the
changes shown or none.

Example: citronstep diff configuration.toml
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			prune := set.Bool("prune", false, "show rows that the document lacks as removals")
			return func(i *invocation) error { return i.diff(*prune) }
		},
	}
}

func (i *invocation) diff(prune bool) error {
	_, p, err := i.planOf(prune)
	if err != nil {
		return err
	}
	if i.json {
		err = i.printJSON(p)
	} else {
		i.printPlan(p)
	}
	if err == nil && len(p.Differences) > 0 {
		return differsError{}
	}
	return err
}

func (i *invocation) printPlan(p *plan) {
	i.printf("configuration revision %d", p.Revision)
	if len(p.Differences) == 0 {
		i.printf("no differences")
		return
	}
	t := newTable("ACTION", "KIND", "NAME", "FIELD", "FROM", "TO")
	for _, d := range p.Differences {
		if d.Action == "remove" {
			t.add(d.Action, d.Kind, d.Name, "", "", "")
		}
		for _, f := range d.Fields {
			from := f.From
			if d.Action == "add" {
				from = ""
			}
			t.add(d.Action, d.Kind, d.Name, f.Field, from, f.To)
		}
	}
	t.write(i.out)
}
