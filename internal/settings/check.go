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

	// maxBody keeps one caller from holding more memory than a small VM can
	// spare; the limit is multiplied by the open requests.
	maxBody = 64 << 20
	// maxHeld is far past the memory of one small VM.
	maxHeld = 16 << 30
	// maxOpenRequests is far past what one small VM relays.
	maxOpenRequests = 1 << 20
	hourMillis      = 3_600_000
	minuteMillis    = 60_000
)

var logLevels = []string{"debug", "info", "warn", "error"}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// checker notes the faults of settings that have the right types.
type checker struct{ *tomlfile.Document }

func (s *Settings) check(d *tomlfile.Document) {
	c := checker{d}
	c.name("vm", s.VM)
	c.name("data_centre", s.DataCentre)
	if !s.Entry.Enabled && !s.Control.Enabled && !c.Has("entry.enabled") && !c.Has("control.enabled") {
		c.Fault("", "no role is enabled", allowedRole)
	}
	s.checkEntry(c)
	s.checkControl(c)
	s.checkPeers(c)
	s.checkAdapter(c)
	if n := s.Log.RequestLinesPerSecond; n < 0 && !c.Has("log.request_lines_per_second") {
		c.Fault("log.request_lines_per_second", strconv.Itoa(n), "0 or more; 0 is no bound")
	}
	if level := s.Log.Level; !c.Has("log.level") && !slices.Contains(logLevels, level) {
		c.Fault("log.level", quoted(level), strings.Join(logLevels, ", "))
	}
}

// adapters are the kinds of adapter.
var adapters = []string{"", "platform"}

func (s *Settings) checkAdapter(c checker) {
	a := s.Adapter
	if !c.Has("adapter.kind") && !slices.Contains(adapters, a.Kind) {
		c.Fault("adapter.kind", quoted(a.Kind), "platform, or left out")
	}
	for key, value := range map[string]string{"callers": a.Callers, "ready": a.Ready, "control": a.Control} {
		if value != "" {
			c.address("adapter."+key, value)
		}
	}
}

func (s *Settings) checkEntry(c checker) {
	e := s.Entry
	if e.Enabled {
		if s.Adapter.Kind == "" || e.Listen != "" {
			c.address("entry.listen", e.Listen)
		}
		c.advertised("entry.advertise", e.Advertise, "entry.listen")
	}
	c.between("entry.max_body_bytes", e.MaxBodyBytes, 1, maxBody)
	c.between("entry.max_held_bytes", e.MaxHeldBytes, 1, maxHeld)
	c.between("entry.max_open", int64(e.MaxOpen), 1, maxOpenRequests)
	c.between("entry.default_timeout_ms", e.DefaultTimeoutMillis, 1, hourMillis)
	c.between("entry.header_timeout_ms", e.HeaderTimeoutMillis, 1, minuteMillis)
	c.between("entry.first_token_timeout_ms", e.FirstTokenTimeoutMillis, 1, hourMillis)
	c.between("entry.token_gap_ms", e.TokenGapMillis, 1, hourMillis)
	c.between("entry.drain_ms", e.DrainMillis, 0, hourMillis)
	c.between("entry.balancer_ms", e.BalancerMillis, 0, minuteMillis)
	c.between("entry.ramp_ms", e.RampMillis, 1, minuteMillis)
	if !c.Has("entry.retry_ratio") && (e.RetryRatio < 0 || e.RetryRatio > 1) {
		c.Fault("entry.retry_ratio", quoted(strconv.FormatFloat(e.RetryRatio, 'g', -1, 64)), "0 to 1")
	}
	c.atLeast("entry.retry_slack", e.RetrySlack, 0)
	c.between("entry.evacuate_ms", e.EvacuateMillis, 0, hourMillis)
	c.atLeast("entry.cold_factor", e.ColdFactor, 1)
	c.atLeast("entry.cold_slack", e.ColdSlack, 0)
}

func (s *Settings) checkControl(c checker) {
	k := s.Control
	if k.Enabled {
		if k.DataFolder == "" && !c.Has("control.data_folder") {
			c.Fault("control.data_folder", "is missing", "a folder on a disk that outlives the process")
		}
		c.address("admin.listen", s.Admin.Listen)
		if !s.Peers.Open {
			c.tokenUnlessLoopback("admin.token_file", s.Admin.TokenFile, s.Admin.Listen)
		}
	}
	if !c.Has("control.voters") && k.Voters != 1 && k.Voters != 3 && k.Voters != 5 {
		c.Fault("control.voters", quoted(strconv.Itoa(k.Voters)), "1, 3 or 5")
	}
	c.between("control.min_disks", int64(k.MinDisks), 0, int64(k.Voters/2+1))
	c.between("control.replace_after_ms", k.ReplaceAfterMillis, 1, hourMillis)
	c.between("control.announce_ms", k.AnnounceMillis, 50, minuteMillis)
	c.between("control.dead_ms", k.DeadMillis, k.AnnounceMillis, hourMillis)
	c.between("control.stall_ms", k.StallMillis, 1, minuteMillis)
	c.between("control.tick_ms", k.TickMillis, 5, 1000)
	c.between("control.election_ticks", int64(k.ElectionTicks), 4, 100)
	// A lease shorter than an election would close every entry at each change
	// of leader; one over a minute would break "in force within seconds".
	election := k.TickMillis * int64(k.ElectionTicks)
	c.between("control.config_lease_ms", k.ConfigLeaseMillis, max(1, election), minuteMillis)
}

func (s *Settings) checkPeers(c checker) {
	p := s.Peers
	c.address("peers.listen", p.Listen)
	c.advertised("peers.advertise", p.Advertise, "peers.listen")
	if !p.Open {
		c.tokenUnlessLoopback("peers.token_file", p.TokenFile, p.Listen)
	}
	if len(p.Control) == 0 && !c.Has("peers.control") {
		c.Fault("peers.control", "is missing", "the peer address of each control process, as IP:port")
	}
	seen := map[string]bool{}
	for i, address := range p.Control {
		key := "peers.control[" + strconv.Itoa(i) + "]"
		c.address(key, address)
		if address != "" && seen[address] {
			c.Fault(key, quoted(address)+" stands twice", "each address once")
		}
		seen[address] = true
	}
}

func (c checker) name(key, value string) {
	switch {
	case c.Has(key):
	case value == "":
		c.Fault(key, "is missing", allowedName)
	case !namePattern.MatchString(value):
		c.Fault(key, quoted(value), allowedName)
	}
}

func (c checker) address(key, value string) {
	switch {
	case c.Has(key):
	case value == "":
		c.Fault(key, "is missing", allowedAddress)
	default:
		if _, err := netip.ParseAddrPort(value); err != nil {
			c.Fault(key, quoted(value), allowedAddress)
		}
	}
}

// advertised checks an address that others are told. A listener may stand on
// all interfaces (0.0.0.0), but nobody can call that address.
func (c checker) advertised(key, value, listenKey string) {
	if c.Has(key) || c.Has(listenKey) {
		return
	}
	address, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
	case err != nil:
		c.Fault(key, quoted(value), allowedAddress)
	case address.Addr().IsUnspecified():
		c.Fault(key, quoted(value)+" can't be called by others", "the IP:port under which others reach "+listenKey)
	}
}

// tokenUnlessLoopback asks for a token where other machines can connect.
func (c checker) tokenUnlessLoopback(key, file, listen string) {
	address, err := netip.ParseAddrPort(listen)
	if c.Has(key) || file != "" || err != nil || address.Addr().IsLoopback() {
		return
	}
	c.Fault(key, "is missing", "a file with the secret; only a loopback address goes without")
}

func (c checker) between(key string, value, low, high int64) {
	if c.Has(key) || (value >= low && value <= high) {
		return
	}
	c.Fault(key, quoted(strconv.FormatInt(value, 10)),
		strconv.FormatInt(low, 10)+" to "+strconv.FormatInt(high, 10))
}

func (c checker) atLeast(key string, value, low float64) {
	if c.Has(key) || value >= low {
		return
	}
	c.Fault(key, quoted(strconv.FormatFloat(value, 'g', -1, 64)), strconv.FormatFloat(low, 'g', -1, 64)+" or more")
}

func quoted(value string) string { return "\"" + strings.ToValidUTF8(value, "?") + "\"" }
