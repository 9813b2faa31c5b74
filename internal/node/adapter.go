package node

import (
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/control"
	"github.com/citronstep/citronstep/internal/controlclient"
	"github.com/citronstep/citronstep/internal/controller"
	"github.com/citronstep/citronstep/internal/entry"
	"github.com/citronstep/citronstep/internal/hearing"
	"github.com/citronstep/citronstep/internal/settings"
)

// Adapter translates between the product and a platform that speaks otherwise.
// Nil fields leave the product's own way.
type Adapter struct {
	// Orders gives orders to engines.
	Orders func(*backend.HTTPClient) control.OrderSender
	// Forwarder passes callers' requests on.
	Forwarder func(*backend.HTTPClient) backend.Forwarder
	// Edges returns what the process listens for beside its own APIs.
	Edges func(Parts) []Edge
}

// Parts are what an adapter's edges work with. Entry and Control are nil in a
// process without that role.
type Parts struct {
	Settings *settings.Settings
	Entry    *entry.Server
	Control  *control.Server
	Hearing  *hearing.Hearing
	Commits  *controlclient.Client
	Logger   log.Logger
}

// Edge is one address that an adapter listens at.
type Edge struct {
	// Name is callers, ready or control; a graceful stop ends them in this order.
	Name    string
	Address string
	Handler http.Handler
}

func (n *Node) listenForAdapter() error {
	if n.adapter.Edges == nil {
		return nil
	}
	parts := Parts{
		Settings: n.settings, Entry: n.entry, Control: n.control, Hearing: n.hearing, Commits: n.commits, Logger: n.logger,
	}
	for _, e := range n.adapter.Edges(parts) {
		if err := n.listenAt(e.Name, e.Address, e.Handler); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (n *Node) orderSender() control.OrderSender {
	if n.adapter.Orders == nil {
		return n.orderClient
	}
	return n.adapter.Orders(n.orderClient)
}

func (n *Node) forwarder() backend.Forwarder {
	if n.adapter.Forwarder == nil {
		return nil
	}
	return n.adapter.Forwarder(n.backendClient)
}

// timing returns what the controllers go by. Only what the settings say
// otherwise than by default is stated.
func (n *Node) timing() controller.Timing {
	c := n.settings.Control
	t := controller.Timing{Stall: millis(c.StallMillis)}
	if c.AnnounceMillis == settings.DefaultAnnounceMillis {
		return t
	}
	t.Dead = millis(c.DeadMillis)
	t.Paused = t.Dead
	t.Fault = quickFaultDelay
	t.Start = quickStartTimeout
	t.Resend = quickResendDelay
	t.Settle = quickSettle
	t.SettleMost = quickMaxSettle
	return t
}

// controllerStep returns the time between two runs of the controllers.
func (n *Node) controllerStep() time.Duration {
	if n.settings.Control.AnnounceMillis == settings.DefaultAnnounceMillis {
		return controllerStep
	}
	return quickStep
}

// Times for engines of pools, which tell of a change at once and join again
// within a second or two.
const (
	// quickStep is what the leader adds to each turn of a repair at most.
	quickStep = 50 * time.Millisecond
	// quickFaultDelay lets an announcement pass that was under way.
	quickFaultDelay = 300 * time.Millisecond
	// quickStartTimeout is within which an order that is carried out late mostly comes.
	quickStartTimeout = 6 * time.Second
	// quickResendDelay is several times an order's answer and the report that follows.
	quickResendDelay = 700 * time.Millisecond
	// quickSettle and quickMaxSettle: a VM that flaps costs its group a second
	// each time, one that is left out strands its accelerators.
	quickSettle    = 250 * time.Millisecond
	quickMaxSettle = 8 * time.Second
)
