package tool

import (
	"flag"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/internal/tomlfile"
)

// The environment variables that the tool reads.
const (
	EnvAddresses = "CITRONSTEP_ADDRESSES"
	EnvTokenFile = "CITRONSTEP_TOKEN_FILE"
	EnvConfig    = "CITRONSTEP_CONFIG"
)

const defaultTimeout = 15 * time.Second

// connection holds the addresses, the token and the timeout for calls of the admin API.
type connection struct {
	addresses []string
	token     string
	timeout   time.Duration
}

// connectionFile is the TOML file named by -config or CITRONSTEP_CONFIG.
type connectionFile struct {
	Addresses []string `toml:"addresses"`
	TokenFile string   `toml:"token_file"`
}

// connectionFlags are the flags that every command has.
type connectionFlags struct {
	addresses string
	tokenFile string
	config    string
	timeout   time.Duration
	json      bool
}

func (f *connectionFlags) register(set *flag.FlagSet) {
	set.StringVar(&f.addresses, "addresses", "", "admin addresses as IP:port, separated by commas, tried in turn (environment: "+EnvAddresses+"; default "+settings.DevAdmin+")")
	set.StringVar(&f.tokenFile, "token-file", "", "file with the operators' token (environment: "+EnvTokenFile+")")
	set.StringVar(&f.config, "config", "", "TOML file with addresses and token_file (environment: "+EnvConfig+")")
	set.DurationVar(&f.timeout, "timeout", defaultTimeout, "total time limit for one call, over all addresses")
	set.BoolVar(&f.json, "json", false, "print JSON instead of tables")
}

// resolve takes each value from the first source that has it: the flag, the environment, the
// file, the default.
func (f *connectionFlags) resolve(getenv func(string) string) (connection, error) {
	file, err := readConnectionFile(firstOf(f.config, getenv(EnvConfig)))
	if err != nil {
		return connection{}, err
	}
	c := connection{timeout: f.timeout}
	given := firstOf(f.addresses, getenv(EnvAddresses), strings.Join(file.Addresses, ","), settings.DevAdmin)
	for _, address := range strings.Split(given, ",") {
		address = strings.TrimSpace(address)
		if _, err := netip.ParseAddrPort(address); err != nil {
			return c, usagef("address %q: must be IP:port, such as %s; host names are not resolved", address, settings.DevAdmin)
		}
		c.addresses = append(c.addresses, address)
	}
	if f.timeout <= 0 {
		return c, usagef("-timeout must be over 0")
	}
	if path := firstOf(f.tokenFile, getenv(EnvTokenFile), file.TokenFile); path != "" {
		if c.token, err = settings.ReadToken(path); err != nil {
			return c, usagef("token file %s: %v", path, err)
		}
	}
	return c, nil
}

func readConnectionFile(path string) (connectionFile, error) {
	var file connectionFile
	if path == "" {
		return file, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return file, usagef("%v", err)
	}
	return file, tomlfile.Decode(path, data, &file).Faults().ErrorOrNil()
}

// firstOf returns the first value that is not empty, or "".
func firstOf(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
