package settings

import (
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/citronstep/citronstep/internal/tomlfile"
)

const (
	allowedName    = "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit"
	allowedAddress = "IP:port, such as 10.0.1.5:8080 or [fd00::5]:8080; names are not resolved"
	allowedRole    = "entry.enabled = true, control.enabled = true, or both"

	// maxBodyBytes keeps one caller from using more memory than a small VM can
	// spare: each open request may hold a body of that size.
	maxBodyBytes = 64 << 20
	// maxHeldBytes is far above the memory of a small VM.
	maxHeldBytes = 16 << 30
	// maxOpenRequests is far above what a small VM can relay.
	maxOpenRequests = 1 << 20
	// maxProcessMemory is far above the memory of any VM, in megabytes.
	maxProcessMemory = 16 << 20
	// minHeaderMemory leaves room for one header of the most bytes that a listener reads, whatever its lines.
	minHeaderMemory = 16 << 20
	maxHeaderMemory = 16 << 30
	// minBodyMemory leaves room for one body of the most bytes that a listener reads.
	minBodyMemory = 32 << 20
	maxBodyMemory = 16 << 30
	hourMillis    = 3_600_000
	minuteMillis  = 60_000
)

var logLevels = []string{"debug", "info", "warn", "error"}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// checker checks the values of settings that have the right types, and adds its
// faults to the document. It skips a key that already has a fault.
type checker struct{ *tomlfile.Document }

func (s *Settings) check(d *tomlfile.Document) {
	c := checker{d}
	c.checkName("vm", s.VM)
	c.checkName("data_centre", s.DataCentre)
	if !s.Entry.Enabled && !s.Control.Enabled && !c.HasFault("entry.enabled") && !c.HasFault("control.enabled") {
		c.AddFault("", "no role is enabled", allowedRole)
	}
	s.checkEntry(c)
	s.checkControl(c)
	s.checkPeers(c)
	s.checkAdapter(c)
	c.checkRange("limits.process_memory_mb", s.Limits.ProcessMemoryMB, 0, maxProcessMemory)
	c.checkRange("limits.header_memory_bytes", s.Limits.HeaderMemoryBytes, minHeaderMemory, maxHeaderMemory)
	c.checkRange("limits.body_memory_bytes", s.Limits.BodyMemoryBytes, minBodyMemory, maxBodyMemory)
	if n := s.Log.RequestLinesPerSecond; n < 0 && !c.HasFault("log.request_lines_per_second") {
		c.AddFault("log.request_lines_per_second", strconv.Itoa(n), "0 or more; 0 means no limit")
	}
	if level := s.Log.Level; !c.HasFault("log.level") && !slices.Contains(logLevels, level) {
		c.AddFault("log.level", quoted(level), strings.Join(logLevels, ", "))
	}
}

// adapterKinds lists the values of adapter.kind.
var adapterKinds = []string{"", "platform"}

func (s *Settings) checkAdapter(c checker) {
	a := s.Adapter
	if !c.HasFault("adapter.kind") && !slices.Contains(adapterKinds, a.Kind) {
		c.AddFault("adapter.kind", quoted(a.Kind), "platform, or left out")
	}
	for key, value := range map[string]string{"callers": a.Callers, "ready": a.Ready, "control": a.Control} {
		if value != "" {
			c.checkAddress("adapter."+key, value)
		}
	}
}

func (s *Settings) checkEntry(c checker) {
	e := s.Entry
	if e.Enabled {
		if s.Adapter.Kind == "" || e.Listen != "" {
			c.checkAddress("entry.listen", e.Listen)
		}
		c.checkAdvertised("entry.advertise", e.Advertise, "entry.listen")
	}
	c.checkRange("entry.max_body_bytes", e.MaxBodyBytes, 1, maxBodyBytes)
	c.checkRange("entry.max_held_bytes", e.MaxHeldBytes, 1, maxHeldBytes)
	c.checkRange("entry.max_open", int64(e.MaxOpen), 1, maxOpenRequests)
	c.checkRange("entry.default_timeout_ms", e.DefaultTimeoutMillis, 1, hourMillis)
	c.checkRange("entry.header_timeout_ms", e.HeaderTimeoutMillis, 1, minuteMillis)
	c.checkRange("entry.first_token_timeout_ms", e.FirstTokenTimeoutMillis, 1, hourMillis)
	c.checkRange("entry.token_gap_ms", e.TokenGapMillis, 1, hourMillis)
	c.checkRange("entry.drain_ms", e.DrainMillis, 0, hourMillis)
	c.checkRange("entry.balancer_ms", e.BalancerMillis, 0, minuteMillis)
	c.checkRange("entry.ramp_ms", e.RampMillis, 1, minuteMillis)
	if !c.HasFault("entry.retry_ratio") && (e.RetryRatio < 0 || e.RetryRatio > 1) {
		c.AddFault("entry.retry_ratio", quoted(strconv.FormatFloat(e.RetryRatio, 'g', -1, 64)), "0 to 1")
	}
	c.checkMinimum("entry.retry_slack", e.RetrySlack, 0)
	c.checkRange("entry.evacuate_ms", e.EvacuateMillis, 0, hourMillis)
	c.checkMinimum("entry.cold_factor", e.ColdFactor, 1)
	c.checkMinimum("entry.cold_slack", e.ColdSlack, 0)
}

func (s *Settings) checkControl(c checker) {
	k := s.Control
	if k.Enabled {
		if k.DataFolder == "" && !c.HasFault("control.data_folder") {
			c.AddFault("control.data_folder", "is missing", "a folder on a disk that keeps its data when the process ends")
		}
		c.checkAddress("admin.listen", s.Admin.Listen)
		if !s.Peers.Open {
			c.requireTokenUnlessLoopback("admin.token_file", s.Admin.TokenFile, s.Admin.Listen)
		}
	}
	if !c.HasFault("control.voters") && k.Voters != 1 && k.Voters != 3 && k.Voters != 5 {
		c.AddFault("control.voters", quoted(strconv.Itoa(k.Voters)), "1, 3 or 5")
	}
	c.checkRange("control.min_disks", int64(k.MinDisks), 0, int64(k.Voters/2+1))
	c.checkRange("control.replace_after_ms", k.ReplaceAfterMillis, 1, hourMillis)
	c.checkRange("control.announce_ms", k.AnnounceMillis, 50, minuteMillis)
	c.checkRange("control.dead_ms", k.DeadMillis, k.AnnounceMillis, hourMillis)
	c.checkRange("control.stall_ms", k.StallMillis, 1, minuteMillis)
	c.checkRange("control.tick_ms", k.TickMillis, 5, 1000)
	c.checkRange("control.election_ticks", int64(k.ElectionTicks), 4, 100)
	// With a lease shorter than an election, every entry would stop serving at
	// each change of leader. With a lease over a minute, a change would no longer
	// be in force within seconds.
	election := k.TickMillis * int64(k.ElectionTicks)
	c.checkRange("control.config_lease_ms", k.ConfigLeaseMillis, max(1, election), minuteMillis)
}

func (s *Settings) checkPeers(c checker) {
	p := s.Peers
	c.checkAddress("peers.listen", p.Listen)
	c.checkAdvertised("peers.advertise", p.Advertise, "peers.listen")
	if !p.Open {
		c.requireTokenUnlessLoopback("peers.token_file", p.TokenFile, p.Listen)
	}
	if len(p.Control) == 0 && !c.HasFault("peers.control") {
		c.AddFault("peers.control", "is missing", "the peer address of each control process, as IP:port")
	}
	seen := map[string]bool{}
	for i, address := range p.Control {
		key := "peers.control[" + strconv.Itoa(i) + "]"
		c.checkAddress(key, address)
		if address != "" && seen[address] {
			c.AddFault(key, quoted(address)+" is listed twice", "each address once")
		}
		seen[address] = true
	}
}

func (c checker) checkName(key, value string) {
	switch {
	case c.HasFault(key):
	case value == "":
		c.AddFault(key, "is missing", allowedName)
	case !namePattern.MatchString(value):
		c.AddFault(key, quoted(value), allowedName)
	}
}

func (c checker) checkAddress(key, value string) {
	switch {
	case c.HasFault(key):
	case value == "":
		c.AddFault(key, "is missing", allowedAddress)
	default:
		if _, err := netip.ParseAddrPort(value); err != nil {
			c.AddFault(key, quoted(value), allowedAddress)
		}
	}
}

// checkAdvertised checks an address that this process announces to others. A
// listener may use all interfaces (0.0.0.0), but no process can connect to that
// address.
func (c checker) checkAdvertised(key, value, listenKey string) {
	if c.HasFault(key) || c.HasFault(listenKey) {
		return
	}
	address, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
	case err != nil:
		c.AddFault(key, quoted(value), allowedAddress)
	case address.Addr().IsUnspecified():
		c.AddFault(key, quoted(value)+" can't be reached by other processes", "the IP:port at which other processes reach "+listenKey)
	}
}

// requireTokenUnlessLoopback requires a token file where other machines can connect.
func (c checker) requireTokenUnlessLoopback(key, file, listen string) {
	address, err := netip.ParseAddrPort(listen)
	if c.HasFault(key) || file != "" || err != nil || address.Addr().IsLoopback() {
		return
	}
	c.AddFault(key, "is missing", "a file with the secret; only a loopback address needs none")
}

func (c checker) checkRange(key string, value, low, high int64) {
	if c.HasFault(key) || (value >= low && value <= high) {
		return
	}
	c.AddFault(key, quoted(strconv.FormatInt(value, 10)),
		strconv.FormatInt(low, 10)+" to "+strconv.FormatInt(high, 10))
}

func (c checker) checkMinimum(key string, value, low float64) {
	if c.HasFault(key) || value >= low {
		return
	}
	c.AddFault(key, quoted(strconv.FormatFloat(value, 'g', -1, 64)), strconv.FormatFloat(low, 'g', -1, 64)+" or more")
}

func quoted(value string) string { return "\"" + strings.ToValidUTF8(value, "?") + "\"" }
