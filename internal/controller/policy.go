package controller

// policy selects between the repair strategies. Production uses defaultPolicy; the measurements
// in docs/design/groups.md also run the other strategies.
type policy struct {
	// reuseSurvivors lets a new group wait for the surviving members of a broken group and use
	// them.
	reuseSurvivors bool
	// reserveDomain keeps specs worth less out of a domain in which a spec worth more waits.
	reserveDomain bool
	// takeOver lets a group worth more break up a group worth less.
	takeOver bool
	// spares is how many VMs each fabric domain keeps free for repairs.
	spares int
}

var defaultPolicy = policy{reuseSurvivors: true, reserveDomain: true, takeOver: true}
