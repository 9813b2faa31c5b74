// Package adminapi holds the types of the operators' API under /admin/v1/.
// The daemon serves it on its admin address; cmd/citronstep uses nothing else.
// Every refusal is a failure.Error as JSON.
package adminapi

import "github.com/citronstep/citronstep/internal/blackboard"

// The paths of the API. A control process that does not lead forwards to the
// leader, so any control process answers.
const (
	// PathStatus: GET, answers Status.
	PathStatus = "/admin/v1/status"
	// PathInit: POST InitRequest, answers InitReply.
	PathInit = "/admin/v1/init"
	// PathConfiguration: GET answers blackboard.Configuration; POST takes a
	// blackboard.ConfigChange and answers ChangeReply.
	PathConfiguration = "/admin/v1/configuration"
	// PathWholeConfiguration: POST takes a blackboard.ReplaceConfiguration and
	// answers ReplaceReply. It is safe to resend.
	PathWholeConfiguration = "/admin/v1/whole-configuration"
	// PathInForce: GET with ?revision=N, answers InForce.
	PathInForce = "/admin/v1/in-force"
	// PathEvacuations: GET answers Evacuations. With a data centre as one more segment, POST
	// orders its evacuation and DELETE ends it; both answer EvacuationReply and are safe to
	// resend.
	PathEvacuations = "/admin/v1/evacuations"
	// PathEvents: GET with ?after=SEQUENCE&wait_ms=N, answers Events.
	PathEvents = "/admin/v1/events"
)

// InitRequest founds a cluster. It is safe to resend.
type InitRequest struct {
	// Initial is the first configuration; its Expect is 0.
	Initial blackboard.ConfigChange `json:"initial"`
}

// InitReply answers InitRequest.
type InitReply struct {
	ClusterID string `json:"cluster_id"`
}

// ChangeReply answers a configuration change.
type ChangeReply struct {
	// Revision is the configuration revision that holds the change.
	Revision uint64 `json:"revision"`
}

// ReplaceReply answers a whole configuration.
type ReplaceReply struct {
	// Version is the operators' number of the configuration that is accepted now,
	// Revision its configuration revision.
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	// Replaced is false when a version at least as high was accepted before.
	Replaced bool `json:"replaced"`
}

// InForce says whether a configuration revision is in force everywhere: each
// entry holds it, or its lease has run out and it admits nothing.
type InForce struct {
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
	// Pending lists the entries that hold neither.
	Pending []string `json:"pending,omitempty"`
}

// EvacuationReply answers an order to evacuate a data centre, or to end that.
type EvacuationReply struct {
	// Revision is the board revision that holds the order.
	Revision uint64 `json:"revision"`
	// Changed is false when the order held already.
	Changed bool `json:"changed"`
}

// Evacuations are the data centres that are evacuated.
type Evacuations struct {
	Evacuations []Evacuation `json:"evacuations"`
}

// Evacuation is one data centre whose backend servers get nothing new.
type Evacuation struct {
	DataCentre  string `json:"data_centre"`
	SinceMillis int64  `json:"since_ms"`
	Revision    uint64 `json:"revision"`
	// InForce says that each entry holds the order, or its lease has run out. Requests
	// that it had sent before may still run.
	InForce bool `json:"in_force"`
	// Pending lists the entries that hold neither.
	Pending []string `json:"pending,omitempty"`
	// Groups and Services stand by in the data centre for its return.
	Groups   []string `json:"groups,omitempty"`
	Services []string `json:"services,omitempty"`
}

// Status is the state of the whole system as the leader sees it.
type Status struct {
	ClusterID      string                       `json:"cluster_id"`
	Founded        bool                         `json:"founded"`
	BoardRevision  uint64                       `json:"board_revision"`
	ConfigRevision uint64                       `json:"config_revision"`
	ActivePreset   string                       `json:"active_preset"`
	Presets        []string                     `json:"presets"`
	Replicas       []Replica                    `json:"replicas"`
	Entries        []EntryStatus                `json:"entries"`
	Groups         []blackboard.Group           `json:"groups"`
	VMs            []blackboard.VM              `json:"vms"`
	Services       []blackboard.ServiceInstance `json:"services"`
	// Measures are the two of the brief.
	Measures Measures `json:"measures"`
}

// Replica is one control process.
type Replica struct {
	ID         string `json:"id"`
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	// Role is leader, voter or learner.
	Role string `json:"role"`
}

// EntryStatus is one entry and the configuration that it holds.
type EntryStatus struct {
	blackboard.Entry
	ConfigRevision uint64 `json:"config_revision"`
	// LeaseMillis is what is left of its configuration lease; 0 is none.
	LeaseMillis int64 `json:"lease_ms"`
}

// Measures are group downtime and stranded accelerators since the leader took
// office, and their present values.
type Measures struct {
	// GroupsDown counts wanted replicas that do not serve now.
	GroupsDown int `json:"groups_down"`
	// GroupDowntimeSeconds adds up the time of each wanted replica not serving.
	GroupDowntimeSeconds float64 `json:"group_downtime_seconds"`
	// StrandedAccelerators counts accelerators of live VMs in no working group.
	StrandedAccelerators       int     `json:"stranded_accelerators"`
	StrandedAcceleratorSeconds float64 `json:"stranded_accelerator_seconds"`
}

// Event is one thing that happened, for operators.
type Event struct {
	Sequence uint64 `json:"sequence"`
	AtMillis int64  `json:"at_ms"`
	// Kind is group, vm, entry, configuration, evacuation or replica.
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	Text    string `json:"text"`
}

// Events answers PathEvents. Sequence numbers restart with a new leader, which
// Leader names.
type Events struct {
	Leader string  `json:"leader"`
	Events []Event `json:"events"`
}
