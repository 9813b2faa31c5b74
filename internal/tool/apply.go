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
		summary: "Found the cluster, once in its life",
		details: `Founds the cluster that the control processes in peers.control make up. Run it
once, after the control processes have started with empty data folders, and name
the admin addresses of all of them: it waits until that many hold the state, since
until then the loss of one disk could lose it. It is safe to run again: a founded
cluster is left as it is.

Example: citronstep init -configuration configuration.toml
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			path := set.String("configuration", "", "configuration document to start with")
			wait := set.Duration("wait", defaultJoinWait, "how long to wait until as many control processes as there are addresses hold the state; 0 returns once it is founded")
			return func(i *invocation) error { return i.initCluster(*path, *wait) }
		},
	}
}

// initResult is the JSON form of init's outcome.
type initResult struct {
	ClusterID      string `json:"cluster_id"`
	FoundedAlready bool   `json:"founded_already"`
	ConfigRevision uint64 `json:"config_revision"`
}

// defaultJoinWait is how long init waits for the other control processes:
// each copies a small snapshot and is promoted, one after the other.
const defaultJoinWait = time.Minute

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
		return errors.Annotate(err, "founded as "+reply.ClusterID+", but its configuration could not be read")
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

// initWithRetry asks for the founding until it is done or the time is up.
//
// A control process refuses to found while it can't ask each of the others
// whether it belongs to a cluster. That is so for a moment when an operator
// has just started them all, and ends by itself.
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

// awaitVoters waits until wanted replicas vote. A cluster is founded with one
// voter; until the others have joined, what it accepts is on one disk.
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
		summary:   "Make the configuration hold what a document says",
		details: `Sends what differs between the document and the configuration as one change,
which applies whole or not at all, and waits until it is in force everywhere.
Rows that the document lacks stay, unless -prune is given. When another
operator's change came first, nothing changes and the exit code is 3.

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
	// A resend must reach the server even if the first try is in force
	// already: the server knows its outcome.
	if len(p.Differences) == 0 && f.changeID == "" {
		return i.reportUnchanged(current)
	}
	return i.change(f, current, p.change)
}

// planOf reads the document that the arguments name and compares it with the
// current configuration.
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
revision that it prints to apply's -expect, so that apply does what was shown
or nothing.

Example: citronstep diff configuration.toml
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			prune := set.Bool("prune", false, "count what the document lacks as to be removed")
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
