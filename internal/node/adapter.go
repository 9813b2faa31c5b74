package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/announcement"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/control"
	"github.com/citronstep/citronstep/internal/controlclient"
	"github.com/citronstep/citronstep/internal/controller"
	"github.com/citronstep/citronstep/internal/entry"
	"github.com/citronstep/citronstep/internal/settings"
)

// Adapter translates between the product and a platform that uses other protocols.
// For a nil field the node uses the product's own protocol.
type Adapter struct {
	// Orders returns the sender of orders to engines.
	Orders func(*backend.HTTPClient) control.OrderSender
	// Forwarder returns the forwarder of callers' requests.
	Forwarder func(*backend.HTTPClient) backend.Forwarder
	// DialBackend makes the connections to backend servers; nil for net.Dialer.
	DialBackend func(ctx context.Context, network, address string) (net.Conn, error)
	// Servers returns the servers that the process runs beside its own APIs.
	Servers func(Components) []AdapterServer
}

// Components are the parts of a node that an adapter's servers may use. Entry and Control
// are nil in a process without that role.
type Components struct {
	Settings      *settings.Settings
	Entry         *entry.Server
	Control       *control.Server
	Announcements *announcement.Receiver
	Commits       *controlclient.Client
	Logger        log.Logger
}

// callersServer is the name of the server for callers' requests, which bounds their bodies by the
// requests' own limits.
const callersServer = "callers"

// AdapterServer is one HTTP server of an adapter.
type AdapterServer struct {
	// Name is callers, ready or control. A graceful stop shuts them down in this order.
	Name    string
	Address string
	Handler http.Handler
}

func (n *Node) listenForAdapter() error {
	if n.adapter.Servers == nil {
		return nil
	}
	components := Components{
		Settings: n.settings, Entry: n.entry, Control: n.control, Announcements: n.announcements, Commits: n.commits, Logger: n.logger,
	}
	for _, e := range n.adapter.Servers(components) {
		handler := e.Handler
		if e.Name != callersServer {
			handler = n.limitBodies(handler)
		}
		if err := n.listenAt(e.Name, e.Address, handler); err != nil {
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

// timing returns the limits and delays of the controllers. Zero fields leave the
// controllers' defaults; only values that the settings change are set.
func (n *Node) timing() controller.Timing {
	c := n.settings.Control
	t := controller.Timing{Stall: millis(c.StallMillis)}
	if c.AnnounceMillis == settings.DefaultAnnounceMillis {
		return t
	}
	t.DeadAfter = millis(c.DeadMillis)
	t.PausedAfter = t.DeadAfter
	t.FaultTimeout = quickFaultDelay
	t.StartTimeout = quickStartTimeout
	t.ResendAfter = quickResendDelay
	t.RejoinWait = quickSettle
	t.MaxRejoinWait = quickMaxSettle
	return t
}

// controllerStep returns the time between two runs of the controllers.
func (n *Node) controllerStep() time.Duration {
	if n.settings.Control.AnnounceMillis == settings.DefaultAnnounceMillis {
		return controllerStep
	}
	return quickStep
}

// Times for engines of pools, which announce a change at once and rejoin within one or
// two seconds.
const (
	// quickStep is the time between two runs of the controllers, and thus the longest
	// delay that the leader adds to each step of a repair.
	quickStep = 50 * time.Millisecond
	// quickFaultDelay is long enough for an announcement in transit to arrive before a
	// reported fault counts.
	quickFaultDelay = 300 * time.Millisecond
	// quickStartTimeout is long enough for most orders that an engine carries out late.
	quickStartTimeout = 6 * time.Second
	// quickResendDelay is several times as long as the answer to an order and the
	// following announcement take.
	quickResendDelay = 700 * time.Millisecond
	// quickSettle and quickMaxSettle are the first and the longest wait after the
	// return of a VM. A VM that flaps costs its group one second each time; a VM that
	// is left out leaves its accelerators unused.
	quickSettle    = 250 * time.Millisecond
	quickMaxSettle = 8 * time.Second
)
