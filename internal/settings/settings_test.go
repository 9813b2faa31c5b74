package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/citronstep/citronstep/internal/tomlfile"
)

const minimalSettings = `
vm = "entry-1"
data_centre = "cluj-a"

[entry]
enabled = true
listen = "10.0.0.1:8080"

[peers]
listen = "10.0.0.1:8082"
control = ["10.0.0.2:8082"]
token_file = "peers.token"
`

func TestParseAppliesDefaults(t *testing.T) {
	s, err := Parse("/etc/citronstep/settings.toml", []byte(minimalSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Entry.MaxOpen, DefaultMaxOpen)
	assert.Equal(t, s.Entry.Advertise, "10.0.0.1:8080")
	assert.Equal(t, s.Control.ConfigLeaseMillis, int64(DefaultConfigLeaseMillis))
	assert.Equal(t, s.Log.Decisions, true)
	assert.Equal(t, s.Peers.TokenFile, "/etc/citronstep/peers.token")
}

// Guards against one fault reported per run: an operator would need a run for each fault
// of a file. Parse must report all faults at once, in the order of the file.
func TestParseReportsAllFaults(t *testing.T) {
	const broken = `vm = "entry 1"
speed = 3

[entry]
enabled = true
listen = "localhost:8080"
max_open = "many"
max_opne = 5

[control]
voters = 4

[peers]
listen = "0.0.0.0:8082"
control = ["10.0.0.2:8082", "10.0.0.2:8082", 7]

[log]
level = "loud"
`
	_, err := Parse("a.toml", []byte(broken))
	var faults Faults
	assert.Assert(t, errors.As(err, &faults))
	var got []string
	for _, f := range faults {
		assert.Equal(t, f.File, "a.toml")
		assert.Assert(t, f.Allowed != "", "%s", f.Key)
		got = append(got, strings.Join(strings.Fields(f.Error())[:2], " "))
	}
	assert.DeepEqual(t, got, []string{
		"a.toml:1:1: vm:",
		"a.toml:1:1: data_centre:",
		"a.toml:2:1: speed:",
		"a.toml:6:1: entry.listen:",
		"a.toml:7:1: entry.max_open:",
		"a.toml:8:1: entry.max_opne:",
		"a.toml:11:1: control.voters:",
		"a.toml:13:2: peers.advertise:",
		"a.toml:13:2: peers.token_file:",
		"a.toml:15:1: peers.control[2]:",
		"a.toml:15:1: peers.control[1]:",
		"a.toml:18:1: log.level:",
	})
}

func TestSyntaxErrorNamesTheLine(t *testing.T) {
	_, err := Parse("a.toml", []byte("vm = \"x\"\ndata_centre = \n"))
	assert.ErrorContains(t, err, "a.toml:2:")
	assert.ErrorContains(t, err, "valid TOML")
}

// Guards against a control process that votes twice in one term after a restart, because
// without a data folder it has not stored its votes. The daemon must not start.
func TestControlNeedsDataFolderAndAdmin(t *testing.T) {
	_, err := Parse("a.toml", []byte(minimalSettings+"\n[control]\nenabled = true\n"))
	assert.ErrorContains(t, err, "control.data_folder: is missing")
	assert.ErrorContains(t, err, "admin.listen: is missing")
}

func TestLoadChecksTokenFiles(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(minimalSettings), 0o600))
	token := filepath.Join(folder, "peers.token")

	_, err := Load(path)
	assert.ErrorContains(t, err, "settings.toml:12:1: peers.token_file: ")
	assert.ErrorContains(t, err, "no such file")

	assert.NilError(t, os.WriteFile(token, []byte(" \n"), 0o600))
	_, err = Load(path)
	assert.ErrorContains(t, err, ErrTokenEmpty.Error())

	assert.NilError(t, os.WriteFile(token, []byte("secret\n"), 0o600))
	assert.NilError(t, os.Chmod(token, 0o644))
	_, err = Load(path)
	assert.ErrorContains(t, err, ErrTokenWorldReadable.Error())

	assert.NilError(t, os.Chmod(token, 0o600))
	_, err = Load(path)
	assert.NilError(t, err)
	read, err := ReadToken(token)
	assert.NilError(t, err)
	assert.Equal(t, read, "secret")
}

func TestLoadReportsMissingFileAsFault(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	var faults Faults
	assert.Assert(t, errors.As(err, &faults))
	assert.Assert(t, is.Len(faults, 1))
}

func TestDevPassesTheChecks(t *testing.T) {
	s := Dev(t.TempDir())
	document := tomlfile.Decode("dev", nil, &Settings{})
	s.check(document)
	assert.NilError(t, document.Faults().ErrorOrNil())
	assert.Equal(t, s.Admin.Listen, DevAdmin)
	assert.Equal(t, s.Control.Voters, 1)
}
