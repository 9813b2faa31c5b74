// Package settings reads and strictly checks the daemon's settings, a TOML file.
package settings

// Settings holds the settings of one process. The process reads them at start,
// and applies changes of Peers.Control while it runs.
type Settings struct {
	// VM is the stable name of the VM on which the process runs.
	VM         string  `toml:"vm"`
	DataCentre string  `toml:"data_centre"`
	Entry      Entry   `toml:"entry"`
	Control    Control `toml:"control"`
	Admin      Admin   `toml:"admin"`
	Peers      Peers   `toml:"peers"`
	Log        Log     `toml:"log"`
	Adapter    Adapter `toml:"adapter"`
	Limits     Limits  `toml:"limits"`
	// Regions maps each data centre to the name of its region.
	Regions map[string]string `toml:"regions"`
}

// Entry holds the settings of the entry role.
type Entry struct {
	Enabled bool `toml:"enabled"`
	// Listen is the address for callers and backend servers, as IP:port.
	Listen string `toml:"listen"`
	// Advertise is the address announced to backend servers; default Listen.
	Advertise string `toml:"advertise"`
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeldBytes bounds the request bodies and answers that this entry buffers,
	// in total, for callers and backend servers that read or write slowly.
	MaxHeldBytes int64 `toml:"max_held_bytes"`
	// MaxOpen bounds the number of open requests on this entry.
	MaxOpen int `toml:"max_open"`
	// DefaultTimeoutMillis is the timeout of a request for which neither its
	// header nor its class gives one.
	DefaultTimeoutMillis int64 `toml:"default_timeout_ms"`
	// HeaderTimeoutMillis, FirstTokenTimeoutMillis and TokenGapMillis bound the
	// time that an attempt may go without progress: until the answer's header,
	// until its first token, and between two tokens.
	HeaderTimeoutMillis     int64 `toml:"header_timeout_ms"`
	FirstTokenTimeoutMillis int64 `toml:"first_token_timeout_ms"`
	TokenGapMillis          int64 `toml:"token_gap_ms"`
	// DrainMillis bounds a graceful stop. BalancerMillis is the time at its start
	// in which the entry is not ready but still accepts requests, so that load
	// balancers can react.
	DrainMillis    int64 `toml:"drain_ms"`
	BalancerMillis int64 `toml:"balancer_ms"`
	// AnnounceTokenFile names the file with the token that backend servers must
	// send with announcements; if empty, the entry accepts any announcement.
	AnnounceTokenFile string `toml:"announce_token_file"`
	// BackendTokenFile names the file with the token that the entry sends with
	// calls to backend servers.
	BackendTokenFile string `toml:"backend_token_file"`
	// Deaf makes the entry accept no announcements of backend servers. The entry
	// relies on the leader's conclusions and takes no part in the exchange of
	// evidence, which saves its cost.
	Deaf bool `toml:"deaf"`
	// ServeWithoutLease lets the entry serve under its last known configuration
	// while it can't reach the control processes. docs/design/configuration.md
	// discusses the trade-off.
	ServeWithoutLease bool `toml:"serve_without_lease"`
	// RampMillis is the time over which a backend server that joins others is
	// ramped up to its full share of the requests.
	RampMillis int64 `toml:"ramp_ms"`
	// RetryRatio and RetrySlack bound the retries of routes' requests for each
	// service in any ten seconds: a fraction of the requests, plus a number of
	// retries for all entries together.
	RetryRatio float64 `toml:"retry_ratio"`
	RetrySlack float64 `toml:"retry_slack"`
	// EvacuateMillis is the time within which the evacuation of a data centre must
	// be in force on all entries.
	EvacuateMillis int64 `toml:"evacuate_ms"`
	// ColdFactor and ColdSlack bound the requests that a cold backend server, one
	// within its slow-start period, gets from all entries together in any second:
	// a factor on the rate that its service gives, plus a number of requests.
	ColdFactor float64 `toml:"cold_factor"`
	ColdSlack  float64 `toml:"cold_slack"`
}

// Adapter holds the settings of the interface to a platform, for processes that
// run on one.
type Adapter struct {
	// Kind names the adapter; empty means none.
	Kind string `toml:"kind"`
	// Callers, Ready and Control are the addresses at which the adapter listens
	// for callers' requests, for the load balancer's readiness probe, and for
	// operators and backend servers.
	Callers string `toml:"callers"`
	Ready   string `toml:"ready"`
	Control string `toml:"control"`
}

// Control holds the settings of the control role.
type Control struct {
	Enabled bool `toml:"enabled"`
	// DataFolder holds all durable state of the process.
	DataFolder string `toml:"data_folder"`
	// Voters is the target number of voting replicas: 1, 3 or 5.
	Voters int `toml:"voters"`
	// MinDisks is the number of disks that must hold a change before it is
	// acknowledged; 0 requires only the majority of the voters.
	MinDisks int `toml:"min_disks"`
	// Found lets this process found (bootstrap) the cluster if it is listed in
	// peers.control and no process listed there belongs to a cluster. Set it only
	// for the first start of a complete system, with empty disks.
	Found bool `toml:"found"`
	// ReplaceAfterMillis is the time without contact after which a standby replica
	// replaces a voter.
	ReplaceAfterMillis int64 `toml:"replace_after_ms"`
	// AnnounceMillis is the interval between announcements of a backend server.
	// DeadMillis is the silence after which a backend server counts as dead.
	// StallMillis is how long the head of a group continues after the loss of a
	// member.
	AnnounceMillis int64 `toml:"announce_ms"`
	DeadMillis     int64 `toml:"dead_ms"`
	StallMillis    int64 `toml:"stall_ms"`
	// TickMillis is the consensus tick; ElectionTicks is the election timeout in
	// ticks.
	TickMillis    int64 `toml:"tick_ms"`
	ElectionTicks int   `toml:"election_ticks"`
	// ConfigLeaseMillis is how long an entry may serve without contact with the
	// leader.
	ConfigLeaseMillis int64 `toml:"config_lease_ms"`
}

// Admin holds the settings of the admin API, which control processes serve.
type Admin struct {
	Listen string `toml:"listen"`
	// TokenFile names the file with the operators' bearer token.
	TokenFile string `toml:"token_file"`
}

// Peers holds the addresses and the secret of the system's own processes.
type Peers struct {
	// Listen is the address for calls from peers, as IP:port.
	Listen string `toml:"listen"`
	// Advertise is the address announced to peers; default Listen.
	Advertise string `toml:"advertise"`
	// Control lists the peer addresses of all control processes.
	Control []string `toml:"control"`
	// TokenFile names the file with the secret that the system's own processes share.
	TokenFile string `toml:"token_file"`
	// Open allows operation without that secret on addresses that other machines can reach.
	Open bool `toml:"open"`
	// SamePort replaces the port of each address in Control by the port of Listen.
	SamePort bool `toml:"same_port"`
}

// Limits holds the limits of a process that apply to all its listeners.
type Limits struct {
	// ProcessMemoryMB is the memory that the process may take, in megabytes: the garbage collector runs more often from
	// four fifths of it on. 0 if it is not known.
	ProcessMemoryMB int64 `toml:"process_memory_mb"`
	// HeaderMemoryBytes bounds the memory that the headers of all requests take while they are read and served. Headers
	// of more than 16 KiB of memory, about 40 lines, may take half of it together.
	HeaderMemoryBytes int64 `toml:"header_memory_bytes"`
	// BodyMemoryBytes bounds the memory that the bodies of requests of operators, backend servers and other processes
	// take; entry.max_held_bytes bounds callers'. Bodies of more than 64 KiB may take half of it together.
	BodyMemoryBytes int64 `toml:"body_memory_bytes"`
}

// Log holds the settings of the log on standard output.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Decisions enables a line for each routing and placement decision.
	Decisions bool `toml:"decisions"`
	// RequestLinesPerSecond bounds the lines about requests; 0 means no limit.
	RequestLinesPerSecond int `toml:"request_lines_per_second"`
}
