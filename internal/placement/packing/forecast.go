package packing

import "time"

// Forecast describes the expected failures and returns of VMs, from the pool's own history. Fields
// without observations hold the priors of DefaultForecast.
type Forecast struct {
	// AbsentFraction is the average fraction of VMs that are unavailable: dead and expected to
	// return, or held by a group that is being dissolved.
	AbsentFraction float64
	// MeanLifetime is the mean time until a VM is lost.
	MeanLifetime time.Duration
	// NewVMsPerSecond is the rate, in VMs a second, at which VMs not known before join a domain.
	NewVMsPerSecond float64
}

// DefaultForecast returns the forecast for a pool without history.
//
// The prior of AbsentFraction favours one model in a domain. VMs that hold the same model can
// replace each other. With two models a loss strands the rest of a group, although there are
// enough spare VMs of the other model. A tenth is a cautious value: a calmer pool has spare VMs
// and learns its lower rate within a minute. The prior of MeanLifetime, a VM lost every four
// minutes, describes a pool in trouble: until more is known, the layout does not change when one
// VM leaves and returns.
func DefaultForecast() Forecast { return Forecast{AbsentFraction: 0.1, MeanLifetime: 4 * time.Minute} }

// servedFraction returns the fraction of time that a group of size VMs serves. The group first
// waits initialWait for VMs and weights, serves until it loses a VM, and then starts again.
func (o Forecast) servedFraction(size int, initialWait time.Duration) float64 {
	life := o.MeanLifetime.Seconds() / float64(max(1, size))
	return life / (life + initialWait.Seconds())
}

// maxWait stands for an endless wait.
const maxWait = time.Hour

// vmWait returns the expected time until a domain has a number of VMs more.
func (o Forecast) vmWait(d Domain, n int) time.Duration {
	if n <= 0 {
		return 0
	}
	perSecond := o.NewVMsPerSecond
	for _, vm := range d.VMs {
		perSecond += vm.ReturnsPerSecond
	}
	if seconds := float64(n) / max(perSecond, epsilon); seconds < maxWait.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return maxWait
}

// missingVMs returns how many VMs a layout of a domain needs beyond those that are available.
func missingVMs(models []Model, d Domain, groups []int) int {
	need := 0
	for i, m := range models {
		need += (groups[i] - d.Groups[m.Name]) * m.Size
	}
	for _, vm := range d.VMs {
		if !vm.InGroup && !vm.Absent {
			need--
		}
	}
	return max(0, need)
}
