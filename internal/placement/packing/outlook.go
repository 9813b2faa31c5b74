package packing

import "time"

// Outlook is what a pool's own history lets expect of its VMs. Fields that nothing
// has been seen of yet hold priors; see Usual.
type Outlook struct {
	// Away is the part of the VMs that are away at any moment: dead and expected back,
	// or held by a group that is being taken apart.
	Away float64
	// Life is how long a VM lives until it is lost, on average.
	Life time.Duration
	// Newcomers is how many VMs that were not known before come to a domain in a
	// second.
	Newcomers float64
}

// Usual is the outlook on a pool of which nothing is known.
//
// Away speaks for one model in a domain. VMs that hold one model stand in for each
// other, while with two models a loss strands the rest of a group although enough VMs
// of the other are over. A tenth is on the careful side: a pool that is calmer than
// that has VMs over and learns it within a minute. A VM lost every four minutes is a pool
// in trouble: until more is known, what is laid out stands while a VM comes and goes.
func Usual() Outlook { return Outlook{Away: 0.1, Life: 4 * time.Minute} }

// served returns the part of its time that a group of some VMs serves that first has
// to wait for VMs and weights: it serves until it loses one of them, and then begins
// anew.
func (o Outlook) served(size int, first time.Duration) float64 {
	life := o.Life.Seconds() / float64(max(1, size))
	return life / (life + first.Seconds())
}

// never stands for a wait without an end.
const never = time.Hour

// wait returns how long a domain waits until it has so many VMs more.
func (o Outlook) wait(d Domain, missing int) time.Duration {
	if missing <= 0 {
		return 0
	}
	perSecond := o.Newcomers
	for _, vm := range d.VMs {
		perSecond += vm.Returns
	}
	if seconds := float64(missing) / max(perSecond, none); seconds < never.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return never
}

// missing returns how many VMs a layout of a domain needs beyond those that are there.
func missing(models []Model, d Domain, groups []int) int {
	need := 0
	for i, m := range models {
		need += (groups[i] - d.Groups[m.Name]) * m.Size
	}
	for _, vm := range d.VMs {
		if !vm.Grouped && !vm.Away {
			need--
		}
	}
	return max(0, need)
}
