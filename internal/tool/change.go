package tool

import (
	"flag"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

const (
	// defaultWait is how long a command waits until its change is in force
	// everywhere. A cut-off entry's lease runs out well within it.
	defaultWait = 15 * time.Second
	// pollInterval is the wait between two looks at the progress of a change.
	pollInterval   = 250 * time.Millisecond
	expectNotGiven = -1
)

// changeFlags are the flags of every command that changes the configuration.
type changeFlags struct {
	changeID string
	expect   int64
	operator string
	wait     time.Duration
}

func (f *changeFlags) register(set *flag.FlagSet) {
	set.StringVar(&f.changeID, "change-id", "", "id of the change; give that of an earlier try to get its outcome without a second change (default a fresh one)")
	set.Int64Var(&f.expect, "expect", expectNotGiven, "configuration revision that the change was made against (default the current one)")
	set.StringVar(&f.operator, "operator", "", "name recorded with the change (default the user's)")
	set.DurationVar(&f.wait, "wait", defaultWait, "how long to wait until the change is carried out; 0 returns once it is accepted")
}

// changeResult is the JSON form of a change's outcome.
type changeResult struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	// Changed is false when the configuration was as wanted already.
	Changed bool `json:"changed"`
	InForce bool `json:"in_force"`
}

// configuration reads the current configuration.
func (i *invocation) configuration() (blackboard.Configuration, error) {
	var current blackboard.Configuration
	err := i.admin.get(i.ctx, adminapi.PathConfiguration, &current)
	return current, errors.Trace(err)
}

// status reads the state of the whole system.
func (i *invocation) status() (adminapi.Status, error) {
	var s adminapi.Status
	err := i.admin.get(i.ctx, adminapi.PathStatus, &s)
	return s, errors.Trace(err)
}

// change sends one change and waits until it is in force everywhere.
//
// The expected revision is that of the configuration the change was made
// against, so of two operators who act on the same state one wins and the
// other is told. The tool never retries over a conflict: the loser should
// look first.
func (i *invocation) change(f *changeFlags, current blackboard.Configuration, c blackboard.ConfigChange) error {
	c.Expect = current.Revision
	if f.expect != expectNotGiven {
		c.Expect = uint64(f.expect)
	}
	c.ChangeID = firstOf(f.changeID, uuid.NewString())
	c.Operator = firstOf(f.operator, operatorName())
	var reply adminapi.ChangeReply
	if err := i.admin.post(i.ctx, adminapi.PathConfiguration, c, &reply, c.ChangeID); err != nil {
		return errors.Trace(err)
	}
	result := changeResult{Revision: reply.Revision, ChangeID: c.ChangeID, Changed: true}
	waitErr := i.awaitInForce(f.wait, reply.Revision)
	result.InForce = waitErr == nil && f.wait > 0
	if err := i.reportChange(result); err != nil {
		return err
	}
	return waitErr
}

func (i *invocation) reportChange(r changeResult) error {
	if i.json {
		return i.printJSON(r)
	}
	switch {
	case !r.Changed:
		i.printf("no change: the configuration is as wanted at revision %d", r.Revision)
	case r.InForce:
		i.printf("revision %d is in force everywhere", r.Revision)
	default:
		i.printf("revision %d is accepted", r.Revision)
	}
	return nil
}

// unchanged reports that there was nothing to send.
func (i *invocation) reportUnchanged(current blackboard.Configuration) error {
	return i.reportChange(changeResult{Revision: current.Revision, InForce: true})
}

// awaitInForce polls until every entry holds the revision or admits nothing.
func (i *invocation) awaitInForce(wait time.Duration, revision uint64) error {
	if wait <= 0 {
		return nil
	}
	path := adminapi.PathInForce + "?revision=" + strconv.FormatUint(revision, 10)
	return i.await(wait, func() (bool, string, error) {
		var answer adminapi.InForce
		if err := i.admin.get(i.ctx, path, &answer); err != nil {
			return false, "", err
		}
		return answer.InForce, "revision " + strconv.FormatUint(revision, 10) +
			" is accepted, not yet in force on: " + firstOf(strings.Join(answer.Pending, ", "), "(unknown)"), nil
	})
}

// await calls step until it is done, and prints each new state that step
// returns. A failed look does not undo what was accepted, so only the end of
// the wait ends it.
func (i *invocation) await(wait time.Duration, step func() (done bool, state string, err error)) error {
	deadline := time.Now().Add(wait)
	shown := ""
	for {
		done, state, err := step()
		if done {
			return nil
		}
		if err != nil {
			state = err.Error()
		}
		if state != shown {
			i.printProgress("%s", state)
			shown = state
		}
		if time.Now().After(deadline) {
			return &unfinishedError{message: "not done after " + wait.String() + ": " + state}
		}
		select {
		case <-i.ctx.Done():
			return &unfinishedError{message: "interrupted: " + state}
		case <-time.After(pollInterval):
		}
	}
}

func operatorName() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return os.Getenv("USER")
}

func notFound(kind, name, known string) error {
	return failure.New(failure.TypeNotFound, "no "+kind+" named "+strconv.Quote(name)).
		WithDetail("known: " + firstOf(known, "none"))
}
