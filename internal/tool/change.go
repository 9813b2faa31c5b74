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
	// defaultWait is how long a command waits until its change is in force everywhere. It is
	// longer than the configuration lease, so the lease of a disconnected entry expires within
	// it.
	defaultWait = 15 * time.Second
	// pollInterval is the time between two polls of the progress of a change.
	pollInterval = 250 * time.Millisecond
	// expectNotGiven is the value of -expect when the flag is not given.
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
	set.StringVar(&f.changeID, "change-id", "", "id of the change; give the id of an earlier attempt to get its outcome without a second change (default a new id)")
	set.Int64Var(&f.expect, "expect", expectNotGiven, "configuration revision that the change is based on (default the current one)")
	set.StringVar(&f.operator, "operator", "", "operator name recorded with the change (default the name of the current user)")
	set.DurationVar(&f.wait, "wait", defaultWait, "how long to wait until the change is in force everywhere; 0 returns as soon as it is accepted")
}

// changeResult is the JSON form of the result of a change.
type changeResult struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	// Changed is false when the configuration already had the wanted values.
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
// The expected revision is the revision of the configuration that the change is based on. When
// two operators change the same revision, one succeeds and the other gets a conflict. The tool
// never retries after a conflict: the second operator should read the new configuration first.
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

// reportChange prints the result of a change.
func (i *invocation) reportChange(r changeResult) error {
	if i.json {
		return i.printJSON(r)
	}
	switch {
	case !r.Changed:
		i.printf("no change: the configuration already has the wanted values at revision %d", r.Revision)
	case r.InForce:
		i.printf("revision %d is in force everywhere", r.Revision)
	default:
		i.printf("revision %d is accepted", r.Revision)
	}
	return nil
}

// reportUnchanged reports that the configuration already has the wanted values, so no change
// was sent.
func (i *invocation) reportUnchanged(current blackboard.Configuration) error {
	return i.reportChange(changeResult{Revision: current.Revision, InForce: true})
}

// awaitInForce polls until every entry either holds the revision or admits no requests.
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

// await calls step until step reports that it is done, and prints each new state that step
// returns. An error of step does not undo an accepted change, so polling goes on until the wait
// limit passes or the context ends.
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

// operatorName returns the name of the current user, to be recorded with a change.
func operatorName() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return os.Getenv("USER")
}

// notFound returns the error for an unknown name, with the list of known names.
func notFound(kind, name, known string) error {
	return failure.New(failure.TypeNotFound, "no "+kind+" named "+strconv.Quote(name)).
		WithDetail("known: " + firstOf(known, "none"))
}
