package controller

import "time"

// Timing are the times that depend on how often backend servers announce
// themselves and on what a reload costs. Zero fields take the defaults, which
// are for announcements each evidence.AnnounceInterval and reloads of tens of
// seconds; their reasons stand at the constants.
type Timing struct {
	// Paused and Dead are how long a backend server must be silent.
	Paused, Dead time.Duration
	// Fault is how long a reported fault that may pass must last.
	Fault time.Duration
	// Start is how long a member may take to begin to load.
	Start time.Duration
	// Resend is when an order that shows no effect is sent again.
	Resend time.Duration
	// Settle is the first wait of a VM that returned, SettleMost the longest; see
	// steady.
	Settle, SettleMost time.Duration
	// Stall is how long the head of a group that lost a member goes on as if
	// nothing had happened, before it gives up by itself. Only groups that open
	// have it.
	Stall time.Duration
}

// DefaultStall is Timing.Stall where the settings do not say.
const DefaultStall = 4 * time.Second

func (t Timing) withDefaults() Timing {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&t.Paused, pausedAfter}, {&t.Dead, deadAfter}, {&t.Fault, faultPatience}, {&t.Start, startLimit},
		{&t.Resend, resendAfter}, {&t.Settle, settleFirst}, {&t.SettleMost, settleMost}, {&t.Stall, DefaultStall},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return t
}
