package blackboard

import (
	"slices"

	"github.com/citronstep/citronstep/internal/failure"
)

// Evacuation says that nothing more is to be sent to the backend servers of a data centre.
// Written by: operators, through SetEvacuation. Read by: entries, which route elsewhere, and
// the group controllers, which form groups elsewhere.
type Evacuation struct {
	// Revision is that of the first board that holds it.
	Revision uint64 `json:"revision"`
	// SinceMillis is when it was ordered, by the clock of the process that took the order.
	SinceMillis int64 `json:"since_ms"`
}

// SetEvacuation orders the evacuation of a data centre, or ends it. Sent again, it changes
// nothing and is answered alike.
type SetEvacuation struct {
	DataCentre string `json:"data_centre"`
	// End takes the order back.
	End       bool  `json:"end,omitempty"`
	NowMillis int64 `json:"now_ms"`
}

// EvacuationOutcome answers a SetEvacuation.
type EvacuationOutcome struct {
	// Revision is that of a board that holds the order.
	Revision uint64 `json:"revision"`
	// Changed is false when the order held already.
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

// Evacuated tells whether a data centre is evacuated.
func (b *Board) Evacuated(dataCentre string) bool {
	_, evacuated := b.Evacuations[dataCentre]
	return evacuated
}

// EvacuatesGroup tells whether a member of the group lies in a data centre that is
// evacuated.
func (b *Board) EvacuatesGroup(g Group) bool {
	if len(b.Evacuations) == 0 {
		return false
	}
	return b.Evacuated(g.DataCentre) || slices.ContainsFunc(g.OtherDataCentres, b.Evacuated)
}

// DataCentres returns the data centres that the board knows, sorted: those of backend
// servers and of entries.
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
