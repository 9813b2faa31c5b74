package tool

import (
	"flag"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/adminapi"
)

func evacuateCommand() command {
	return command{
		name:      "evacuate",
		arguments: "[DATA_CENTRE]",
		summary:   "Stop sending requests to the backend servers of a data centre, or list evacuated data centres",
		details: `Groups and instances in the data centre get no new requests and finish their current
ones. Replacement groups form elsewhere if there are enough free VMs. Groups and
instances in the data centre are kept until the evacuation ends. The command returns
once the order is in force on all entries. It is safe to send again. Without a name,
it lists the evacuated data centres.

Example: citronstep evacuate hall-b
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			wait := set.Duration("wait", defaultWait, "how long to wait until the order is in force on all entries; 0 returns once it is accepted")
			return func(i *invocation) error { return i.evacuate(*wait) }
		},
	}
}

func returnCommand() command {
	return command{
		name:      "return",
		arguments: "DATA_CENTRE",
		summary:   "End the evacuation of a data centre",
		details: `Its backend servers get requests again. Until a server announces that its slow start
is over, it gets no more than its service allows for cold servers. Safe to send again.

Example: citronstep return hall-b
`,
		setup: func(*flag.FlagSet) func(*invocation) error {
			return func(i *invocation) error {
				if err := i.requireArgs(1); err != nil {
					return err
				}
				reply, err := i.setEvacuation(http.MethodDelete, i.args[0])
				if err != nil || i.json {
					return errors.Trace(err)
				}
				i.printf("%s takes requests again, from board revision %d on", i.args[0], reply.Revision)
				return nil
			}
		},
	}
}

func (i *invocation) evacuate(wait time.Duration) error {
	if len(i.args) == 0 {
		return i.listEvacuations()
	}
	if err := i.requireArgs(1); err != nil {
		return err
	}
	name := i.args[0]
	if _, err := i.setEvacuation(http.MethodPost, name); err != nil {
		return err
	}
	if err := i.awaitEvacuated(wait, name); err != nil {
		return err
	}
	switch {
	case i.json:
	case wait > 0:
		i.printf("%s gets no new requests from any entry", name)
	default:
		i.printf("the evacuation of %s is accepted", name)
	}
	return nil
}

// setEvacuation sends one order and, with -json, prints the reply.
func (i *invocation) setEvacuation(method, dataCentre string) (adminapi.EvacuationReply, error) {
	var reply adminapi.EvacuationReply
	path := adminapi.PathEvacuations + "/" + url.PathEscape(dataCentre)
	if err := i.admin.call(i.ctx, method, path, nil, &reply, ""); err != nil {
		return reply, errors.Trace(err)
	}
	if i.json {
		return reply, i.printJSON(reply)
	}
	return reply, nil
}

func (i *invocation) evacuations() (adminapi.Evacuations, error) {
	var list adminapi.Evacuations
	err := i.admin.get(i.ctx, adminapi.PathEvacuations, &list)
	return list, errors.Trace(err)
}

// awaitEvacuated polls until every entry either holds the order or admits no requests.
func (i *invocation) awaitEvacuated(wait time.Duration, dataCentre string) error {
	if wait <= 0 {
		return nil
	}
	return i.await(wait, func() (bool, string, error) {
		list, err := i.evacuations()
		if err != nil {
			return false, "", err
		}
		for _, e := range list.Evacuations {
			if e.DataCentre == dataCentre {
				return e.InForce, "not yet in force on: " + strings.Join(e.Pending, ", "), nil
			}
		}
		return false, "the evacuation was ended", nil
	})
}

func (i *invocation) listEvacuations() error {
	list, err := i.evacuations()
	if err != nil {
		return err
	}
	if i.json {
		return i.printJSON(list)
	}
	if len(list.Evacuations) == 0 {
		i.printf("no data centre is evacuated")
	}
	for _, e := range list.Evacuations {
		state := "in force"
		if !e.InForce {
			state = "not yet in force on " + strings.Join(e.Pending, ", ")
		}
		since := time.UnixMilli(e.SinceMillis).UTC().Format(time.RFC3339)
		i.printf("%s  since %s, %s; %d groups and %d instances stand by", e.DataCentre, since, state, len(e.Groups), len(e.Services))
	}
	return nil
}
