package settings

import (
	"net/netip"
	"os"
	"path/filepath"

	"github.com/citronstep/citronstep/internal/tomlfile"
)

// Fault is one thing wrong in a settings file.
type Fault = tomlfile.Fault

// Faults are all the faults of a settings file.
type Faults = tomlfile.Faults

// Load reads and checks the settings file at path and the token files that
// it names. The error is of type Faults and holds every fault.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Message: fileErrorText(err), Allowed: "a readable settings file"}}
	}
	s, document := decode(path, data)
	if !document.SyntaxBroken() {
		s.checkTokenFiles(document)
	}
	if faults := document.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// Parse checks settings without a look at the files that they name. name is
// the file's name in faults; relative paths in data start from its folder.
func Parse(name string, data []byte) (*Settings, error) {
	s, document := decode(name, data)
	if faults := document.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func decode(name string, data []byte) (*Settings, *tomlfile.Document) {
	s := defaults()
	document := tomlfile.Decode(name, data, s)
	if document.SyntaxBroken() {
		return s, document
	}
	s.fillDerived(filepath.Dir(name))
	s.check(document)
	return s, document
}

// derive fills what follows from other settings. Relative paths start from
// the settings file's folder, so that the daemon's working folder is of no
// account.
func (s *Settings) fillDerived(folder string) {
	if s.Entry.Advertise == "" {
		s.Entry.Advertise = s.Entry.Listen
	}
	if s.Peers.Advertise == "" {
		s.Peers.Advertise = s.Peers.Listen
	}
	s.replaceZeroDurations()
	if s.Peers.SamePort {
		s.Peers.applyOwnPort()
	}
	for _, path := range []*string{
		&s.Control.DataFolder, &s.Admin.TokenFile, &s.Peers.TokenFile,
		&s.Entry.AnnounceTokenFile, &s.Entry.BackendTokenFile,
	} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}

// takeOwnPort gives each control address the port that this process listens on
// for its peers. An address that is none stays as it is, for the check to name.
func (p *Peers) applyOwnPort() {
	own, err := netip.ParseAddrPort(p.Listen)
	if err != nil {
		return
	}
	for i, address := range p.Control {
		if other, err := netip.ParseAddrPort(address); err == nil {
			p.Control[i] = netip.AddrPortFrom(other.Addr(), own.Port()).String()
		}
	}
}

// fillTimes takes 0 for the default where 0 itself makes no sense.
func (s *Settings) replaceZeroDurations() {
	for _, t := range []struct {
		field *int64
		value int64
	}{
		{&s.Entry.RampMillis, DefaultRampMillis},
		{&s.Control.ReplaceAfterMillis, DefaultReplaceAfterMillis},
		{&s.Control.AnnounceMillis, DefaultAnnounceMillis},
		{&s.Control.DeadMillis, DefaultDeadMillis},
		{&s.Control.StallMillis, DefaultStallMillis},
	} {
		if *t.field == 0 {
			*t.field = t.value
		}
	}
}
