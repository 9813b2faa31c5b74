package settings

import "path/filepath"

// The default values. The timeouts for the header, the first token and the token
// gap are several times what a healthy engine needs, so that only an
// unresponsive engine exceeds them.
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
	// DefaultRequestLinesPerSecond suffices for 300 requests per second with three
	// lines each, and is a tenth of the lines that one core can write per second.
	DefaultRequestLinesPerSecond = 1_000
	DefaultRampMillis            = 10_000
	DefaultReplaceAfterMillis    = 600_000
	DefaultAnnounceMillis        = 400
	DefaultDeadMillis            = 10_000
	DefaultStallMillis           = 4_000
	// DefaultRetryRatio bounds the load that retries add to one tenth of the requests.
	DefaultRetryRatio = 0.1
	// DefaultRetrySlack lets a system with few requests retry, where the ratio alone
	// would allow none.
	DefaultRetrySlack     = 50
	DefaultEvacuateMillis = 5_000
	// DefaultColdFactor adds half of the service's rate for cold servers, to allow for
	// bursts.
	DefaultColdFactor = 1.5
	DefaultColdSlack  = 1
	// DefaultHeaderMemoryBytes and DefaultBodyMemoryBytes are a fifth of the memory of a small VM each.
	DefaultHeaderMemoryBytes = 64 << 20
	DefaultBodyMemoryBytes   = 64 << 20
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
		Limits: Limits{HeaderMemoryBytes: DefaultHeaderMemoryBytes, BodyMemoryBytes: DefaultBodyMemoryBytes},
		Log:    Log{Level: DefaultLogLevel, Decisions: true, RequestLinesPerSecond: DefaultRequestLinesPerSecond},
	}
}

// Addresses of `citronstepd -dev`.
const (
	DevCallers = "127.0.0.1:8080"
	DevAdmin   = "127.0.0.1:8081"
	DevPeers   = "127.0.0.1:8082"
)

// Dev returns the settings of one process that has every role, listens on the
// loopback interface and keeps its state under folder. It needs no tokens,
// because only programs on the same host can reach it.
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
