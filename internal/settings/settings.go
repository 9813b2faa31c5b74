// Package settings holds the daemon's settings: a TOML file read strictly.
package settings

// Settings are one process's settings. They are read once, at start.
type Settings struct {
	// VM is the stable name of this machine.
	VM         string  `toml:"vm"`
	DataCentre string  `toml:"data_centre"`
	Entry      Entry   `toml:"entry"`
	Control    Control `toml:"control"`
	Admin      Admin   `toml:"admin"`
	Peers      Peers   `toml:"peers"`
	Log        Log     `toml:"log"`
	Adapter    Adapter `toml:"adapter"`
	// Regions names the region of each data centre.
	Regions map[string]string `toml:"regions"`
}

// Entry are the settings of the entry role.
type Entry struct {
	Enabled bool `toml:"enabled"`
	// Listen is where callers and backend servers connect, as IP:port.
	Listen string `toml:"listen"`
	// Advertise is the address given to backend servers; default Listen.
	Advertise string `toml:"advertise"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeldBytes bounds the request bodies and the answers that this entry holds for
	// callers and backend servers that read or write slowly.
	MaxHeldBytes int64 `toml:"max_held_bytes"`
	// MaxOpen bounds the open requests of this entry.
	MaxOpen int `toml:"max_open"`
	// DefaultTimeoutMillis is the deadline of a request whose header and
	// class name none.
	DefaultTimeoutMillis int64 `toml:"default_timeout_ms"`
	// HeaderTimeoutMillis, FirstTokenTimeoutMillis and TokenGapMillis are the
	// deadlines of progress on an attempt.
	HeaderTimeoutMillis     int64 `toml:"header_timeout_ms"`
	FirstTokenTimeoutMillis int64 `toml:"first_token_timeout_ms"`
	TokenGapMillis          int64 `toml:"token_gap_ms"`
	// DrainMillis bounds a graceful stop; BalancerMillis is how long the
	// entry stays up, not ready, before it refuses new work.
	DrainMillis    int64 `toml:"drain_ms"`
	BalancerMillis int64 `toml:"balancer_ms"`
	// AnnounceTokenFile holds the token that backend servers announce with;
	// empty accepts any announcement.
	AnnounceTokenFile string `toml:"announce_token_file"`
	// BackendTokenFile holds the token that our calls to backend servers carry.
	BackendTokenFile string `toml:"backend_token_file"`
	// Deaf takes no announcements of backend servers: the entry goes by what
	// the leader concludes, and costs nothing for the exchange of evidence.
	Deaf bool `toml:"deaf"`
	// ServeWithoutLease goes on under the last configuration known while the
	// control processes can't be reached; docs/design/configuration.md weighs
	// it.
	ServeWithoutLease bool `toml:"serve_without_lease"`
	// RampMillis is how long a backend server that appears beside others takes
	// until it gets its whole part of the work.
	RampMillis int64 `toml:"ramp_ms"`
	// RetryRatio and RetrySlack bound what retries of routes' requests add for each service
	// in any ten seconds: a part of the requests, and a number for all entries together.
	RetryRatio float64 `toml:"retry_ratio"`
	RetrySlack float64 `toml:"retry_slack"`
	// EvacuateMillis is the time in which the evacuation of a data centre must be in force
	// on all entries.
	EvacuateMillis int64 `toml:"evacuate_ms"`
	// ColdFactor and ColdSlack are what a cold backend server bears of all entries together
	// in any second: a factor on the rate that its service states, and a number of requests
	// beside it.
	ColdFactor float64 `toml:"cold_factor"`
	ColdSlack  float64 `toml:"cold_slack"`
}

// Adapter are the settings of the interface to a platform, for processes that
// run on one.
type Adapter struct {
	// Kind names the adapter; empty is none.
	Kind string `toml:"kind"`
	// Callers, Ready and Control are where the adapter listens for callers'
	// requests, for the balancer's question whether to send any, and for
	// operators and backend servers.
	Callers string `toml:"callers"`
	Ready   string `toml:"ready"`
	Control string `toml:"control"`
}

// Control are the settings of the control role.
type Control struct {
	Enabled bool `toml:"enabled"`
	// DataFolder holds all durable state of the process.
	DataFolder string `toml:"data_folder"`
	// Voters is the wanted number of voting replicas: 1, 3 or 5.
	Voters int `toml:"voters"`
	// MinDisks is how many disks must hold a change before it is acknowledged;
	// 0 leaves it to the majority of the voters.
	MinDisks int `toml:"min_disks"`
	// Found lets this process found the cluster when it is among peers.control
	// and none of these belongs to one. True only at the first start of a whole
	// system, with empty disks.
	Found bool `toml:"found"`
	// ReplaceAfterMillis is after how long a silent voter gives its vote to a
	// replica that stands by.
	ReplaceAfterMillis int64 `toml:"replace_after_ms"`
	// AnnounceMillis is how often backend servers announce themselves; DeadMillis
	// how long one must be silent to be given up; StallMillis how long the head
	// of a group goes on after it has lost a member.
	AnnounceMillis int64 `toml:"announce_ms"`
	DeadMillis     int64 `toml:"dead_ms"`
	StallMillis    int64 `toml:"stall_ms"`
	// TickMillis is the consensus tick; ElectionTicks the election timeout.
	TickMillis    int64 `toml:"tick_ms"`
	ElectionTicks int   `toml:"election_ticks"`
	// ConfigLeaseMillis is how long an entry may serve without hearing from
	// the leader.
	ConfigLeaseMillis int64 `toml:"config_lease_ms"`
}

// Admin are the settings of the admin API, served by control processes.
type Admin struct {
	Listen string `toml:"listen"`
	// TokenFile holds the operators' bearer token.
	TokenFile string `toml:"token_file"`
}

// Peers are the addresses and the secret of the system's own processes.
type Peers struct {
	// Listen is where this process takes calls of its peers, as IP:port.
	Listen string `toml:"listen"`
	// Advertise is the address given to peers; default Listen.
	Advertise string `toml:"advertise"`
	// Control lists the peer addresses of all control processes.
	Control []string `toml:"control"`
	// TokenFile holds the secret between the system's own processes.
	TokenFile string `toml:"token_file"`
	// Open runs without that secret on addresses that other machines reach.
	Open bool `toml:"open"`
	// SamePort takes only the hosts of Control and the port of Listen.
	SamePort bool `toml:"same_port"`
}

// Log are the settings of the log on standard output.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Decisions writes a line for each routing and placement decision.
	Decisions bool `toml:"decisions"`
	// RequestLinesPerSecond bounds the lines about requests; 0 is no bound.
	RequestLinesPerSecond int `toml:"request_lines_per_second"`
}
