package blackboard

import (
	"slices"

	"github.com/citronstep/citronstep/internal/failure"
)

// Evacuation is an order to send no new requests to the backend servers of a data centre.
// Written by: operators, through SetEvacuation. Read by: entries, which route to other data
// centres, and the group controllers, which form groups in other data centres.
type Evacuation struct {
	// Revision is the first board revision that contains the order.
	Revision uint64 `json:"revision"`
	// SinceMillis is the time of the order, by the clock of the process that received it.
	SinceMillis int64 `json:"since_ms"`
}

// SetEvacuation starts or ends the evacuation of a data centre. It is idempotent: a resent order
// changes nothing and is not an error.
type SetEvacuation struct {
	DataCentre string `json:"data_centre"`
	// End ends the evacuation.
	End       bool  `json:"end,omitempty"`
	NowMillis int64 `json:"now_ms"`
}

// EvacuationOutcome is the result of a SetEvacuation.
type EvacuationOutcome struct {
	// Revision is a board revision that contains the order.
	Revision uint64 `json:"revision"`
	// Changed is false if the order was already in force.
	Changed bool           `json:"changed"`
	Failure *failure.Error `json:"failure,omitempty"`
}

func (c SetEvacuation) apply(d *draft) (any, bool) {
	if c.DataCentre == "" {
		return EvacuationOutcome{Failure: failure.New(failure.TypeBadRequest, "a data centre is needed")}, false
	}
	current, evacuated := d.Evacuations[c.DataCentre]
	switch {
	case evacuated && !c.End:
		return EvacuationOutcome{Revision: current.Revision}, false
	case !evacuated && c.End:
		return EvacuationOutcome{Revision: d.Revision}, false
	}
	next := d.Revision + 1
	d.Evacuations = cloneMap(d.Evacuations)
	if c.End {
		delete(d.Evacuations, c.DataCentre)
		d.presumeCold(c.DataCentre)
	} else {
		d.Evacuations[c.DataCentre] = Evacuation{Revision: next, SinceMillis: c.NowMillis}
	}
	return EvacuationOutcome{Revision: next, Changed: true}, true
}

// Evacuated reports whether a data centre is being evacuated.
func (b *Board) Evacuated(dataCentre string) bool {
	_, evacuated := b.Evacuations[dataCentre]
	return evacuated
}

// EvacuatesGroup reports whether any member of the group is in a data centre that is being
// evacuated.
func (b *Board) EvacuatesGroup(g Group) bool {
	if len(b.Evacuations) == 0 {
		return false
	}
	return b.Evacuated(g.DataCentre) || slices.ContainsFunc(g.OtherDataCentres, b.Evacuated)
}

// DataCentres returns the sorted names of all data centres with backend servers or entries.
func (b *Board) DataCentres() []string {
	known := make(map[string]bool)
	for _, v := range b.VMs {
		known[v.DataCentre] = true
	}
	for _, s := range b.Services {
		known[s.DataCentre] = true
	}
	for _, e := range b.Entries {
		known[e.DataCentre] = true
	}
	delete(known, "")
	return sortedKeys(known)
}
