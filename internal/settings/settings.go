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
}

// Control are the settings of the control role.
type Control struct {
	Enabled bool `toml:"enabled"`
	// DataFolder holds all durable state of the process.
	DataFolder string `toml:"data_folder"`
	// Voters is the wanted number of voting replicas: 1, 3 or 5.
	Voters int `toml:"voters"`
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
}

// Log are the settings of the log on standard error.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Decisions writes a line for each routing and placement decision.
	Decisions bool `toml:"decisions"`
}
