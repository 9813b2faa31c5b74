package tool

import (
	"flag"
	"strconv"
	"time"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/juju/errors"
)

// followWait is how long the server may hold a follow request open. It must stay under
// attemptTimeout: otherwise every quiet period would look like a lost response.
const followWait = 3 * time.Second

func eventsCommand() command {
	return command{
		name:    "events",
		summary: "Show recent events of groups, VMs, entries and the configuration",
		details: `The leader keeps recent events. A new leader starts with an empty list and sequence
number 1. With -json, prints one object per line.

Example: citronstep events -follow -kind group
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			f := eventFlags{}
			set.Uint64Var(&f.after, "after", 0, "show events after this sequence number")
			set.BoolVar(&f.follow, "follow", false, "keep printing new events until interrupted")
			set.StringVar(&f.kind, "kind", "", "show only events of this kind: group, vm, entry, configuration, evacuation or replica")
			return func(i *invocation) error { return i.events(f) }
		},
	}
}

type eventFlags struct {
	after  uint64
	follow bool
	kind   string
}

// events prints the events after f.after and, with -follow, new events until ctx ends.
func (i *invocation) events(f eventFlags) error {
	if err := i.requireArgs(0); err != nil {
		return err
	}
	after, leader := f.after, ""
	for {
		batch, err := i.fetchEvents(after, leader != "" && f.follow)
		if err != nil {
			if i.ctx.Err() != nil {
				return nil
			}
			return errors.Trace(err)
		}
		if leader != "" && batch.Leader != leader {
			i.printProgress("new leader %s: event numbers start again at 1", batch.Leader)
			after, leader = 0, batch.Leader
			continue
		}
		leader = batch.Leader
		for _, e := range batch.Events {
			after = max(after, e.Sequence)
			if f.kind == "" || f.kind == e.Kind {
				i.printEvent(e)
			}
		}
		if !f.follow {
			return nil
		}
	}
}

func (i *invocation) fetchEvents(after uint64, wait bool) (adminapi.Events, error) {
	path := adminapi.PathEvents + "?after=" + decimal(after)
	if wait {
		path += "&wait_ms=" + strconv.FormatInt(followWait.Milliseconds(), 10)
	}
	var batch adminapi.Events
	err := i.admin.get(i.ctx, path, &batch)
	return batch, err
}

func (i *invocation) printEvent(e adminapi.Event) {
	if i.json {
		// One object per line, so that a consumer can read the output while it grows.
		i.printLine(e)
		return
	}
	at := time.UnixMilli(e.AtMillis).UTC().Format("2006-01-02T15:04:05.000Z")
	i.printf("%6d  %s  %-13s  %-20s  %s", e.Sequence, at, e.Kind, e.Subject, e.Text)
}
