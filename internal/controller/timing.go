package controller

import "time"

// Timing holds the times that depend on the announcement interval of backend servers and on the
// cost of a reload. A zero field takes its default. The defaults suit announcements every
// evidence.AnnounceInterval and reloads that take tens of seconds; the constants give their
// reasons.
type Timing struct {
	// PausedAfter and DeadAfter are how long a backend server must be silent to count as paused or
	// dead.
	PausedAfter, DeadAfter time.Duration
	// FaultTimeout is how long a reported fault that may be temporary must last.
	FaultTimeout time.Duration
	// StartTimeout is how long a member may take to begin to load.
	StartTimeout time.Duration
	// ResendAfter is the time after which an order without a visible effect is sent again.
	ResendAfter time.Duration
	// RejoinWait is half the wait after the first return of a VM, MaxRejoinWait the longest wait; see
	// isStable.
	RejoinWait, MaxRejoinWait time.Duration
	// Stall is how long the head of a group that lost a member continues as before, until the
	// head stops serving by itself. It applies only to groups that open.
	Stall time.Duration
}

// DefaultStall is the value of Timing.Stall if the settings do not give one.
const DefaultStall = 4 * time.Second

func (t Timing) withDefaults() Timing {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&t.PausedAfter, pausedAfter}, {&t.DeadAfter, deadAfter}, {&t.FaultTimeout, faultTimeout}, {&t.StartTimeout, startTimeout},
		{&t.ResendAfter, resendAfter}, {&t.RejoinWait, rejoinWait}, {&t.MaxRejoinWait, maxRejoinWait}, {&t.Stall, DefaultStall},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return t
}
