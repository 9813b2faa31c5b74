package controller

import (
	"math"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement/packing"
)

const (
	// outlookWindow is how far back losses and newcomers are counted: long enough for
	// a few in a small pool that is in trouble, short enough that a pool is seen calm a
	// minute after.
	outlookWindow = time.Minute
	// outlookSettle is how long after its first VM a pool is still coming to be known, so
	// that VMs that appear are no newcomers.
	outlookSettle = 10 * time.Second
	// awayMemory is the time over which the part of VMs that is away is averaged.
	awayMemory = 30 * time.Second
	// Priors of a VM that fell silent, worth returnsWeight observations: most VMs that
	// crash are started again, within some seconds.
	returnsPart   = 0.7
	returnsIn     = 6 * time.Second
	returnsWeight = 3
	// returnsHalf is the time in which an observation of a return loses half of its
	// weight.
	returnsHalf = time.Minute
	// likelyBack is how likely a VM that is away must still come back for the layout of
	// its domain to count on it.
	likelyBack = 0.25
)

// history is what this leader has seen of the VMs of one pool.
type history struct {
	// away is the part of VMs that is away, averaged, and at when it was last looked at.
	away float64
	at   time.Time
	// begun says that the pool has been looked at.
	begun bool
	// dead holds since when VMs have been dead; the zero time for those that are counted
	// as gone.
	dead map[string]time.Time
	// returned and gone count VMs that came back and that did not, by weight, and took
	// sums the seconds of those that came back.
	returned, gone, took float64
}

func newHistory(now time.Time) *history {
	return &history{
		away: packing.Usual().Away, at: now, dead: make(map[string]time.Time),
		returned: returnsPart * returnsWeight, gone: (1 - returnsPart) * returnsWeight,
		took: returnsPart * returnsWeight * returnsIn.Seconds(),
	}
}

// meanReturn is how long a VM that comes back is away, in seconds.
func (h *history) meanReturn() float64 { return h.took / max(h.returned, 1e-6) }

// back returns how likely a VM comes back that has been away for some time, by Bayes: it
// would have been back by now with a likelihood that grows with the time.
func (h *history) back(away time.Duration) float64 {
	still := h.returned * math.Exp(-away.Seconds()/h.meanReturn())
	return still / (still + h.gone)
}

// perSecond returns how often in a second a VM comes back that has been away for some
// time.
func (h *history) perSecond(away time.Duration) float64 { return h.back(away) / h.meanReturn() }

// goneAfter is how long a VM is away until it is noted as one that does not come back:
// of those that do, one in twenty takes longer.
func (h *history) goneAfter() time.Duration {
	return time.Duration(3 * h.meanReturn() * float64(time.Second))
}

// see takes in one look at the VMs of the pool, of which held are in groups that are
// being taken apart.
func (h *history) see(now time.Time, vms []blackboard.VM, held int) {
	passed := now.Sub(h.at).Seconds()
	h.at = now
	h.fade(passed)
	out := held
	for _, vm := range vms {
		if h.look(now, vm) {
			out++
		}
	}
	h.begun = true
	if len(vms) > 0 {
		weight := 1 - math.Exp(-passed/awayMemory.Seconds())
		h.away += weight * (float64(out)/float64(len(vms)) - h.away)
	}
}

// look takes in the row of one VM, and tells whether the VM is dead and may come back.
func (h *history) look(now time.Time, vm blackboard.VM) (away bool) {
	since, known := h.dead[vm.ID]
	if vm.Liveness != blackboard.Dead {
		switch {
		case known && !since.IsZero():
			h.noteReturned(now.Sub(since).Seconds(), 1)
		case !h.begun && vm.Flaps > 0:
			// It came back under an earlier leader, which alone knows after how long.
			h.noteReturned(h.meanReturn(), weightAfter(age(now, vm)))
		}
		delete(h.dead, vm.ID)
		return false
	}
	if !known {
		since = now.Add(-age(now, vm))
		h.dead[vm.ID] = since
	}
	if since.IsZero() {
		return false
	}
	if dead := now.Sub(since); dead >= h.goneAfter() {
		// The zero time says that it has been counted.
		h.dead[vm.ID] = time.Time{}
		h.gone += weightAfter(dead)
		return false
	}
	return true
}

// age returns how long a VM has been in its state of liveness, by the board.
func age(now time.Time, vm blackboard.VM) time.Duration {
	return max(0, time.Duration(now.UnixMilli()-vm.SinceMillis)*time.Millisecond)
}

// weightAfter is what is left of the weight of an observation.
func weightAfter(d time.Duration) float64 { return math.Exp2(-d.Seconds() / returnsHalf.Seconds()) }

func (h *history) fade(passed float64) {
	keep := math.Exp2(-passed / returnsHalf.Seconds())
	prior := 1 - keep
	h.returned = keep*h.returned + prior*returnsPart*returnsWeight
	h.gone = keep*h.gone + prior*(1-returnsPart)*returnsWeight
	h.took = keep*h.took + prior*returnsPart*returnsWeight*returnsIn.Seconds()
}

func (h *history) noteReturned(after, weight float64) {
	h.returned += weight
	h.took += after * weight
}

// outlook returns what the history and the rows of the pool let expect. The rows tell
// when each VM was lost, came back or came to be known, whoever led then.
func (h *history) outlook(now time.Time, vms []blackboard.VM, domains int) packing.Outlook {
	o := packing.Usual()
	o.Away = h.away
	first := time.Duration(0)
	for _, vm := range vms {
		first = max(first, age(now, vm))
	}
	span := min(first, outlookWindow)
	lost, came := 0, 0
	for _, vm := range vms {
		since := age(now, vm)
		switch {
		case since >= span:
		case vm.Liveness == blackboard.Dead || vm.Flaps > 0:
			lost++
		case since < first-outlookSettle:
			came++
		}
	}
	seconds := span.Seconds()*float64(len(vms)) + o.Life.Seconds()
	o.Life = time.Duration(seconds / float64(lost+1) * float64(time.Second))
	if span > 0 {
		o.Newcomers = float64(came) / (span.Seconds() * float64(max(1, domains)))
	}
	return o
}
