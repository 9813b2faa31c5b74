package controller

import (
	"math"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement/packing"
)

const (
	// forecastWindow is how far back lost and new VMs are counted: long enough for a few in a
	// small pool that is in trouble, short enough that a pool counts as stable one minute after.
	forecastWindow = time.Minute
	// discoveryTime is the time after its first VM in which a pool is still becoming known, so
	// that VMs that appear do not count as new.
	discoveryTime = 10 * time.Second
	// awayAveragingTime is the period over which the fraction of VMs that are away is averaged.
	awayAveragingTime = 30 * time.Second
	// The priors of a VM that fell silent, which count like priorWeight observations: most VMs
	// that crash are restarted within some seconds.
	priorReturnProbability = 0.7
	priorReturnTime        = 6 * time.Second
	priorWeight            = 3
	// returnHalfLife is the time in which an observation of a return loses half of its weight.
	returnHalfLife = time.Minute
	// minReturnProbability is the lowest probability of return at which the layout of a domain
	// includes a VM that is away.
	minReturnProbability = 0.25
)

// history is what this leader has observed of the VMs of one pool.
type history struct {
	// awayFraction is the averaged fraction of VMs that are away, and observedAt when it was last
	// updated.
	awayFraction float64
	observedAt   time.Time
	// hasObserved is true once the pool has been observed.
	hasObserved bool
	// deadSince holds the time since which VMs have been dead; the zero time for VMs that have
	// been counted as lost.
	deadSince map[string]time.Time
	// returned and lost count the VMs that returned and those that did not, by weight.
	// returnSeconds is the weighted sum of the times after which VMs returned.
	returned, lost, returnSeconds float64
}

func newHistory(now time.Time) *history {
	return &history{
		awayFraction: packing.DefaultForecast().AbsentFraction, observedAt: now, deadSince: make(map[string]time.Time),
		returned: priorReturnProbability * priorWeight, lost: (1 - priorReturnProbability) * priorWeight,
		returnSeconds: priorReturnProbability * priorWeight * priorReturnTime.Seconds(),
	}
}

// meanReturnSeconds is the mean time for which a VM that returns is away.
func (h *history) meanReturnSeconds() float64 { return h.returnSeconds / max(h.returned, 1e-6) }

// returnProbability returns how likely a VM returns that has been away for some time, by Bayes'
// theorem: the longer it has been away, the more likely it would have returned by now.
func (h *history) returnProbability(away time.Duration) float64 {
	still := h.returned * math.Exp(-away.Seconds()/h.meanReturnSeconds())
	return still / (still + h.lost)
}

// returnRate returns how often per second a VM returns that has been away for some time.
func (h *history) returnRate(away time.Duration) float64 {
	return h.returnProbability(away) / h.meanReturnSeconds()
}

// lostAfter is how long a VM is away until it counts as lost: of the VMs that return, one in
// twenty takes longer.
func (h *history) lostAfter() time.Duration {
	return time.Duration(3 * h.meanReturnSeconds() * float64(time.Second))
}

// observe updates the history from the VMs of the pool. releasing is how many VMs are in groups
// that are being taken apart.
func (h *history) observe(now time.Time, vms []blackboard.VM, releasing int) {
	elapsed := now.Sub(h.observedAt).Seconds()
	h.observedAt = now
	h.decay(elapsed)
	out := releasing
	for _, vm := range vms {
		if h.observeVM(now, vm) {
			out++
		}
	}
	h.hasObserved = true
	if len(vms) > 0 {
		weight := 1 - math.Exp(-elapsed/awayAveragingTime.Seconds())
		h.awayFraction += weight * (float64(out)/float64(len(vms)) - h.awayFraction)
	}
}

// observeVM updates the history from the row of one VM, and reports whether the VM is dead and
// may return.
func (h *history) observeVM(now time.Time, vm blackboard.VM) (away bool) {
	since, known := h.deadSince[vm.ID]
	if vm.Liveness != blackboard.Dead {
		switch {
		case known && !since.IsZero():
			h.recordReturn(now.Sub(since).Seconds(), 1)
		case !h.hasObserved && vm.Flaps > 0:
			// The VM returned under an earlier leader, and only that leader knows after how long.
			h.recordReturn(h.meanReturnSeconds(), weightAfter(livenessAge(now, vm)))
		}
		delete(h.deadSince, vm.ID)
		return false
	}
	if !known {
		since = now.Add(-livenessAge(now, vm))
		h.deadSince[vm.ID] = since
	}
	if since.IsZero() {
		return false
	}
	if dead := now.Sub(since); dead >= h.lostAfter() {
		// The zero time states that the VM has been counted.
		h.deadSince[vm.ID] = time.Time{}
		h.lost += weightAfter(dead)
		return false
	}
	return true
}

// livenessAge returns how long a VM has been in its liveness state, by the board.
func livenessAge(now time.Time, vm blackboard.VM) time.Duration {
	return max(0, time.Duration(now.UnixMilli()-vm.SinceMillis)*time.Millisecond)
}

// weightAfter returns the remaining weight of an observation after some time.
func weightAfter(d time.Duration) float64 { return math.Exp2(-d.Seconds() / returnHalfLife.Seconds()) }

func (h *history) decay(elapsed float64) {
	keep := math.Exp2(-elapsed / returnHalfLife.Seconds())
	prior := 1 - keep
	h.returned = keep*h.returned + prior*priorReturnProbability*priorWeight
	h.lost = keep*h.lost + prior*(1-priorReturnProbability)*priorWeight
	h.returnSeconds = keep*h.returnSeconds + prior*priorReturnProbability*priorWeight*priorReturnTime.Seconds()
}

func (h *history) recordReturn(after, weight float64) {
	h.returned += weight
	h.returnSeconds += after * weight
}

// forecast returns the expected losses and returns by the history and the rows of the pool. The
// rows show when each VM was lost, returned or became known, whichever leader recorded that.
func (h *history) forecast(now time.Time, vms []blackboard.VM, domains int) packing.Forecast {
	o := packing.DefaultForecast()
	o.AbsentFraction = h.awayFraction
	first := time.Duration(0)
	for _, vm := range vms {
		first = max(first, livenessAge(now, vm))
	}
	span := min(first, forecastWindow)
	lost, appeared := 0, 0
	for _, vm := range vms {
		since := livenessAge(now, vm)
		switch {
		case since >= span:
		case vm.Liveness == blackboard.Dead || vm.Flaps > 0:
			lost++
		case since < first-discoveryTime:
			appeared++
		}
	}
	seconds := span.Seconds()*float64(len(vms)) + o.MeanLifetime.Seconds()
	o.MeanLifetime = time.Duration(seconds / float64(lost+1) * float64(time.Second))
	if span > 0 {
		o.NewVMsPerSecond = float64(appeared) / (span.Seconds() * float64(max(1, domains)))
	}
	return o
}
