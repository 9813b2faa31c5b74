package packing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a model that has most of its groups in one data centre, so that the loss or
// evacuation of that data centre leaves the model with few groups.
func TestEachModelIsSpreadOverDataCentres(t *testing.T) {
	models := []Model{
		{Name: "wide", Size: 12, Share: 0.5, StoreLoad: 16 * time.Second, StagedLoad: 1600 * time.Millisecond},
		{Name: "narrow", Size: 6, Share: 0.5, StoreLoad: 12 * time.Second, StagedLoad: 1100 * time.Millisecond},
	}
	for _, away := range []float64{0.08, 0.085, 0.09, 0.1} {
		forecast := DefaultForecast()
		forecast.AbsentFraction = away
		const perCentre = 2
		var domains []Domain
		for c := range 3 {
			for i := range perCentre {
				d := Domain{Name: fmt.Sprint("d", c, "-", i), DataCentre: fmt.Sprint("dc-", c)}
				for v := range 27 {
					d.VMs = append(d.VMs, VM{ID: fmt.Sprint(d.Name, "-", v)})
				}
				domains = append(domains, d)
			}
		}
		layouts := Plan(models, domains, forecast, true)
		total, in := make(map[string]int), make(map[string]map[string]int)
		for _, d := range domains {
			for model, n := range layouts[d.Name].Groups {
				total[model] += n
				if in[d.DataCentre] == nil {
					in[d.DataCentre] = make(map[string]int)
				}
				in[d.DataCentre][model] += n
			}
		}
		for _, groups := range in {
			for model, n := range groups {
				assert.Assert(t, 2*n <= total[model], "%.3f absent: %d of %d groups of %s in one data centre", away, n, total[model], model)
			}
		}
	}
}
