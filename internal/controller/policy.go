package controller

// policy selects between the ways of repair that were weighed. Production uses
// defaultPolicy; the measurements in docs/design/groups.md also run the others.
type policy struct {
	// reuse lets a new group wait for and take the survivors of a broken one.
	reuse bool
	// hold keeps specs worth less out of a domain in which one worth more waits.
	hold bool
	// takeOver lets a group worth more break up one worth less.
	takeOver bool
	// spares is how many VMs a fabric domain keeps back for repairs.
	spares int
}

var defaultPolicy = policy{reuse: true, hold: true, takeOver: true}
