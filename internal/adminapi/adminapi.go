// Package adminapi holds the types of the operators' API under /admin/v1/. The daemon serves the
// API on its admin address. cmd/citronstep uses no other API. Every refusal is a failure.Error
// as JSON.
package adminapi

import "github.com/citronstep/citronstep/internal/blackboard"

// The paths of the API. A control process that is not the leader forwards requests to the
// leader, so any control process can serve them.
const (
	// PathStatus: GET returns Status.
	PathStatus = "/admin/v1/status"
	// PathInit: POST takes an InitRequest and returns InitReply.
	PathInit = "/admin/v1/init"
	// PathConfiguration: GET returns blackboard.Configuration. POST takes a
	// blackboard.ConfigChange and returns ChangeReply.
	PathConfiguration = "/admin/v1/configuration"
	// PathReplaceConfiguration: POST takes a blackboard.ReplaceConfiguration and returns
	// ReplaceReply. It is safe to resend.
	PathReplaceConfiguration = "/admin/v1/whole-configuration"
	// PathInForce: GET with ?revision=N returns InForce.
	PathInForce = "/admin/v1/in-force"
	// PathEvacuations: GET returns Evacuations. With a data centre as an additional path
	// segment, POST starts its evacuation and DELETE ends it. Both return EvacuationReply and
	// are safe to resend.
	PathEvacuations = "/admin/v1/evacuations"
	// PathEvents: GET with ?after=SEQUENCE&wait_ms=N returns Events.
	PathEvents = "/admin/v1/events"
)

// MaxAnswerBytes bounds an answer of the API, in bytes. A status of 710 VMs with their groups is well
// under 1 MB.
const MaxAnswerBytes = 32 << 20

// InitRequest bootstraps a cluster. It is safe to resend.
type InitRequest struct {
	// Initial is the first configuration; its Expect is 0.
	Initial blackboard.ConfigChange `json:"initial"`
}

// InitReply is the answer to InitRequest.
type InitReply struct {
	ClusterID string `json:"cluster_id"`
}

// ChangeReply is the answer to a blackboard.ConfigChange.
type ChangeReply struct {
	// Revision is the configuration revision that contains the change.
	Revision uint64 `json:"revision"`
}

// ReplaceReply is the answer to a blackboard.ReplaceConfiguration.
type ReplaceReply struct {
	// Version is the operators' version number of the configuration that is now accepted.
	// Revision is its configuration revision.
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	// Replaced is false if an equal or higher version had been accepted before.
	Replaced bool `json:"replaced"`
}

// InForce states whether a configuration revision is in force everywhere: each entry either
// holds it, or its lease has expired and the entry admits no requests.
type InForce struct {
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
	// Pending lists the entries that neither hold the revision nor have an expired lease.
	Pending []string `json:"pending,omitempty"`
}

// EvacuationReply is the answer to an order that starts or ends an evacuation.
type EvacuationReply struct {
	// Revision is the board revision that contains the order.
	Revision uint64 `json:"revision"`
	// Changed is false if the order was already in force.
	Changed bool `json:"changed"`
}

// Evacuations lists the data centres that are being evacuated.
type Evacuations struct {
	Evacuations []Evacuation `json:"evacuations"`
}

// Evacuation is a data centre whose backend servers receive no new requests.
type Evacuation struct {
	DataCentre  string `json:"data_centre"`
	SinceMillis int64  `json:"since_ms"`
	Revision    uint64 `json:"revision"`
	// InForce states that each entry holds the order or has an expired lease. Requests that an
	// entry sent before may still run.
	InForce bool `json:"in_force"`
	// Pending lists the entries that neither hold the order nor have an expired lease.
	Pending []string `json:"pending,omitempty"`
	// Groups and Services stay ready in the data centre for the end of the evacuation.
	Groups   []string `json:"groups,omitempty"`
	Services []string `json:"services,omitempty"`
}

// Status is the state of the complete system as the leader knows it.
type Status struct {
	ClusterID      string                       `json:"cluster_id"`
	Founded        bool                         `json:"founded"`
	BoardRevision  uint64                       `json:"board_revision"`
	ConfigRevision uint64                       `json:"config_revision"`
	ActivePreset   string                       `json:"active_preset"`
	Presets        []string                     `json:"presets"`
	Replicas       []Replica                    `json:"replicas"`
	Voters         Voters                       `json:"voters"`
	Entries        []EntryStatus                `json:"entries"`
	Groups         []blackboard.Group           `json:"groups"`
	VMs            []blackboard.VM              `json:"vms"`
	Services       []blackboard.ServiceInstance `json:"services"`
	// Measures are the two quantities that the system minimises: group downtime and stranded
	// accelerators.
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
	// SilentMillis is the time since the leader last had an answer from this process. It is 0
	// if the process that gives this status does not lead.
	SilentMillis int64 `json:"silent_ms"`
}

// Voters tells whether as many voters answer the leader as are wanted. It is zero if the process
// that gives this status does not lead.
type Voters struct {
	Wanted    int `json:"wanted"`
	Answering int `json:"answering"`
	// MissingMillis is how long voters have been missing, as far as this leader knows.
	MissingMillis int64 `json:"missing_ms"`
	// Action is what the leader does about missing voters, or what it waits for.
	Action string `json:"action,omitempty"`
}

// EntryStatus is an entry with the configuration revision that it holds.
type EntryStatus struct {
	blackboard.Entry
	ConfigRevision uint64 `json:"config_revision"`
	// LeaseMillis is the remaining time of the entry's configuration lease; 0 means no lease.
	LeaseMillis int64 `json:"lease_ms"`
}

// Measures are group downtime and stranded accelerators: their totals since the leader's term
// began, and their present values.
type Measures struct {
	// GroupsDown counts the desired replicas that are not serving now.
	GroupsDown int `json:"groups_down"`
	// GroupDowntimeSeconds is the sum, over all desired replicas, of the time in which each was
	// not serving.
	GroupDowntimeSeconds float64 `json:"group_downtime_seconds"`
	// StrandedAccelerators counts the accelerators of live VMs that are in no working group.
	StrandedAccelerators       int     `json:"stranded_accelerators"`
	StrandedAcceleratorSeconds float64 `json:"stranded_accelerator_seconds"`
}

// Event is an event of interest to operators.
type Event struct {
	Sequence uint64 `json:"sequence"`
	AtMillis int64  `json:"at_ms"`
	// Kind is group, vm, entry, configuration, evacuation or replica.
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	Text    string `json:"text"`
}

// Events is the answer to PathEvents. Sequence numbers restart when the leader changes. Leader
// names the current leader.
type Events struct {
	Leader string  `json:"leader"`
	Events []Event `json:"events"`
}
