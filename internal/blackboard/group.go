package blackboard

// GroupState is the state of a serving group.
type GroupState string

// The states of a serving group. Only Serving is routable.
const (
	Forming  GroupState = "forming"
	Loading  GroupState = "loading"
	Serving  GroupState = "serving"
	Draining GroupState = "draining"
	Broken   GroupState = "broken"
	Released GroupState = "released"
)

// Routable reports whether entries may send new requests to the group.
func (s GroupState) Routable() bool { return s == Serving }

// requiresMembers reports whether the row of every member must name the group's epoch.
func (s GroupState) requiresMembers() bool {
	return s == Forming || s == Loading || s == Serving
}

// transitions lists the permitted next states of each state.
var transitions = map[GroupState][]GroupState{
	Forming:  {Loading, Broken, Released},
	Loading:  {Serving, Broken, Released, Draining},
	Serving:  {Draining, Broken},
	Draining: {Released, Broken},
	Broken:   {Released},
}

// GroupMember is one VM of a group, with the incarnation that joined.
type GroupMember struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

// Group is one epoch of one replica of a GroupSpec. Written by: the group controllers. Read by:
// entries, which route requests to it, and the admin API.
type Group struct {
	// ID is the spec's name and the replica's number, such as "demo-0".
	ID           string     `json:"id"`
	Spec         string     `json:"spec"`
	Model        string     `json:"model"`
	Epoch        uint64     `json:"epoch"`
	State        GroupState `json:"state"`
	FabricDomain string     `json:"fabric_domain"`
	// DataCentre is the data centre of the head. OtherDataCentres are those of the other
	// members, if they differ.
	DataCentre       string        `json:"data_centre"`
	OtherDataCentres []string      `json:"other_data_centres,omitempty"`
	Members          []GroupMember `json:"members"`
	Worth            int           `json:"worth"`
	// RequiresOpenHead states that the group serves only while its first member, the head, is open;
	// see GroupSpec.Pool.
	RequiresOpenHead bool `json:"opens,omitempty"`
	// Reason explains why the group is in its state.
	Reason      string `json:"reason,omitempty"`
	SinceMillis int64  `json:"since_ms"`
}

// The phases of a member that decide whether it is ready. Package backend defines all phases.
const (
	phaseReady = "ready"
	phaseOpen  = "open"
)

// IsMemberReady reports whether a member in this phase is ready to serve. If RequiresOpenHead is
// set, the head must be open.
func (g Group) IsMemberReady(m GroupMember, phase string) bool {
	if g.RequiresOpenHead && len(g.Members) > 0 && g.Members[0].VM == m.VM {
		return phase == phaseOpen
	}
	return phase == phaseReady
}

// Head returns the member that receives the group's requests, or the zero value if the group has
// no members.
func (g Group) Head() GroupMember {
	if len(g.Members) == 0 {
		return GroupMember{}
	}
	return g.Members[0]
}

// FormGroup makes free VMs of one fabric domain the members of a new epoch.
type FormGroup struct {
	Group     Group `json:"group"`
	NowMillis int64 `json:"now_ms"`
}

// apply checks and writes all member rows in one step. If two groups race for a VM, the second
// is refused until the VM is free again.
func (c FormGroup) apply(d *draft) (any, bool) {
	g := c.Group
	if old, ok := d.Groups[g.ID]; ok && old.State != Released {
		return refused("an earlier epoch is not released")
	}
	if len(g.Members) == 0 {
		return refused("no members")
	}
	if reason := d.joinRefusal(g); reason != "" {
		return refused(reason)
	}
	g.Epoch = d.NextEpoch
	g.State = Forming
	g.SinceMillis = c.NowMillis
	d.NextEpoch++
	for _, m := range g.Members {
		v := d.VMs[m.VM]
		v.Group, v.Epoch = g.ID, g.Epoch
		d.putVM(v)
	}
	d.putGroup(g)
	return Verdict{Applied: true, Epoch: g.Epoch}, true
}

// joinRefusal returns the reason why the members cannot all join a new group, or "" if they can.
func (b *Board) joinRefusal(g Group) string {
	seen := make(map[string]bool, len(g.Members))
	for _, m := range g.Members {
		v, ok := b.VMs[m.VM]
		if !ok || !v.Free() || v.Incarnation != m.Incarnation || seen[m.VM] {
			return "VM " + m.VM + " is not free under this incarnation"
		}
		if v.FabricDomain != g.FabricDomain {
			return "VM " + m.VM + " is in another fabric domain"
		}
		seen[m.VM] = true
	}
	return ""
}

// SetGroupState moves one epoch of a group from one state to another.
type SetGroupState struct {
	Group     string     `json:"group"`
	Epoch     uint64     `json:"epoch"`
	From      GroupState `json:"from"`
	To        GroupState `json:"to"`
	Reason    string     `json:"reason"`
	NowMillis int64      `json:"now_ms"`
}

func (c SetGroupState) apply(d *draft) (any, bool) {
	g, ok := d.Groups[c.Group]
	if !ok || g.Epoch != c.Epoch || g.State != c.From {
		return refused("the group is in another epoch or state")
	}
	if !isTransition(c.From, c.To) {
		return refused("no such transition")
	}
	if c.To == Released && d.anyMemberHolds(g) {
		return refused("a member still holds the epoch")
	}
	g.State, g.Reason, g.SinceMillis = c.To, c.Reason, c.NowMillis
	d.putGroup(g)
	return applied()
}

// isTransition reports whether a group may move directly between the two states.
func isTransition(from, to GroupState) bool {
	for _, s := range transitions[from] {
		if s == to {
			return true
		}
	}
	return false
}

// anyMemberHolds reports whether the row of any member still names the group's epoch.
func (b *Board) anyMemberHolds(g Group) bool {
	for _, m := range g.Members {
		if v, ok := b.VMs[m.VM]; ok && v.Group == g.ID && v.Epoch == g.Epoch {
			return true
		}
	}
	return false
}
