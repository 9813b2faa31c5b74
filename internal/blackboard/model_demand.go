package blackboard

import "math"

// ModelDemand is the demand that the entries observe for one model. Written by: the leader, from
// the entries' reports. Read by: a new leader, until it has received reports itself.
type ModelDemand struct {
	// RequestsPerSecond and TokensPerSecond are smoothed rates of arrival over all entries.
	RequestsPerSecond float64 `json:"requests"`
	TokensPerSecond   float64 `json:"tokens"`
	// LateFraction and RefusedFraction are fractions, from 0 to 1, of the requests.
	LateFraction    float64 `json:"late"`
	RefusedFraction float64 `json:"refused"`
	// UpdatedMillis is the time of the newest observation, by the leader's clock.
	UpdatedMillis int64 `json:"updated_ms"`
}

const (
	// demandTolerance is the relative difference of rates, and the difference of fractions, up to
	// which a row counts as unchanged.
	demandTolerance = 0.1
	// confirmDemandMillis is the time after which an unchanged row is written again, so that it
	// does not become stale.
	confirmDemandMillis = 4000
)

// isNear reports whether two rows are so close that the board need not change.
func (m ModelDemand) isNear(o ModelDemand) bool {
	near := func(a, b float64) bool { return math.Abs(a-b) <= demandTolerance*max(a, b) }
	return near(m.RequestsPerSecond, o.RequestsPerSecond) && near(m.TokensPerSecond, o.TokensPerSecond) &&
		math.Abs(m.LateFraction-o.LateFraction) <= demandTolerance &&
		math.Abs(m.RefusedFraction-o.RefusedFraction) <= demandTolerance &&
		m.UpdatedMillis-o.UpdatedMillis < confirmDemandMillis
}

// DemandChanged reports whether the board's table differs enough from the demand to be written.
func (b *Board) DemandChanged(models map[string]ModelDemand) bool {
	if len(models) != len(b.Demand) {
		return true
	}
	for name, row := range models {
		if old, known := b.Demand[name]; !known || !row.isNear(old) {
			return true
		}
	}
	return false
}

// RecordDemand replaces the table of observed demand. It makes no new revision: no entry copies
// the table, and control processes of older versions, which do not know the command, keep the
// same revisions as the others.
type RecordDemand struct {
	Models map[string]ModelDemand `json:"models"`
}

// maxDemandRows bounds the table. It exceeds the number of models of any pool.
const maxDemandRows = 256

func (c RecordDemand) apply(d *draft) (any, bool) {
	switch {
	case len(c.Models) > maxDemandRows:
		return refused("too many models")
	case !d.DemandChanged(c.Models):
		return refused("no change")
	}
	d.Demand = cloneMap(c.Models)
	d.keepsRevision = true
	return applied()
}
