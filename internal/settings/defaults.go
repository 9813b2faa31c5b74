package settings

import "path/filepath"

// The defaults. Times are in milliseconds. The deadlines of progress are
// several times what a healthy engine takes to answer, so that only a silent
// one meets them.
const (
	DefaultMaxBodyBytes            = 1 << 20
	DefaultMaxOpen                 = 4096
	DefaultMaxHeldBytes            = 64 << 20
	DefaultTimeoutMillis           = 60_000
	DefaultHeaderTimeoutMillis     = 2_000
	DefaultFirstTokenTimeoutMillis = 10_000
	DefaultTokenGapMillis          = 5_000
	DefaultDrainMillis             = 30_000
	DefaultBalancerMillis          = 2_000
	DefaultVoters                  = 3
	DefaultTickMillis              = 50
	DefaultElectionTicks           = 10
	DefaultConfigLeaseMillis       = 3_000
	DefaultLogLevel                = "info"
	// DefaultRequestLinesPerSecond is what 300 requests a second need with three
	// lines each, a tenth of what a core writes in a second.
	DefaultRequestLinesPerSecond = 1_000
	DefaultRampMillis            = 10_000
	DefaultReplaceAfterMillis    = 600_000
	DefaultAnnounceMillis        = 400
	DefaultDeadMillis            = 10_000
	DefaultStallMillis           = 4_000
	// DefaultRetryRatio bounds the load that retries add to a tenth.
	DefaultRetryRatio = 0.1
	// DefaultRetrySlack lets an idle system retry at all.
	DefaultRetrySlack     = 50
	DefaultEvacuateMillis = 5_000
	// DefaultColdFactor leaves half of the stated rate for requests that come in bursts.
	DefaultColdFactor = 1.5
	DefaultColdSlack  = 1
)

func defaults() *Settings {
	return &Settings{
		Entry: Entry{
			MaxBodyBytes:            DefaultMaxBodyBytes,
			MaxOpen:                 DefaultMaxOpen,
			MaxHeldBytes:            DefaultMaxHeldBytes,
			DefaultTimeoutMillis:    DefaultTimeoutMillis,
			HeaderTimeoutMillis:     DefaultHeaderTimeoutMillis,
			FirstTokenTimeoutMillis: DefaultFirstTokenTimeoutMillis,
			TokenGapMillis:          DefaultTokenGapMillis,
			DrainMillis:             DefaultDrainMillis,
			BalancerMillis:          DefaultBalancerMillis,
			RampMillis:              DefaultRampMillis,
			RetryRatio:              DefaultRetryRatio,
			RetrySlack:              DefaultRetrySlack,
			EvacuateMillis:          DefaultEvacuateMillis,
			ColdFactor:              DefaultColdFactor,
			ColdSlack:               DefaultColdSlack,
		},
		Control: Control{
			Voters:            DefaultVoters,
			TickMillis:        DefaultTickMillis,
			ElectionTicks:     DefaultElectionTicks,
			ConfigLeaseMillis: DefaultConfigLeaseMillis,

			ReplaceAfterMillis: DefaultReplaceAfterMillis,
			AnnounceMillis:     DefaultAnnounceMillis,
			DeadMillis:         DefaultDeadMillis,
			StallMillis:        DefaultStallMillis,
		},
		Log: Log{Level: DefaultLogLevel, Decisions: true, RequestLinesPerSecond: DefaultRequestLinesPerSecond},
	}
}

// The addresses of `citronstepd -dev`.
const (
	DevCallers = "127.0.0.1:8080"
	DevAdmin   = "127.0.0.1:8081"
	DevPeers   = "127.0.0.1:8082"
)

// Dev returns the settings of one process that holds every role on the
// loopback interface, with its state under folder. It needs no tokens, since
// only programs of this machine reach it.
func Dev(folder string) *Settings {
	s := defaults()
	s.VM = "dev"
	s.DataCentre = "dev"
	s.Entry.Enabled = true
	s.Entry.Listen, s.Entry.Advertise = DevCallers, DevCallers
	s.Entry.BalancerMillis = 0
	s.Control.Enabled = true
	s.Control.DataFolder = filepath.Join(folder, "control")
	s.Control.Voters = 1
	s.Admin.Listen = DevAdmin
	s.Peers.Listen, s.Peers.Advertise = DevPeers, DevPeers
	s.Peers.Control = []string{DevPeers}
	return s
}
