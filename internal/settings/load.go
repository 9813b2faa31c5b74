package settings

import (
	"net/netip"
	"os"
	"path/filepath"

	"github.com/citronstep/citronstep/internal/tomlfile"
)

// Fault is one error in a settings file.
type Fault = tomlfile.Fault

// Faults holds all errors in a settings file.
type Faults = tomlfile.Faults

// Load reads and checks the settings file at path and the token files that the
// settings name. The error is of type Faults and holds every fault.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Message: fileErrorText(err), Allowed: "a readable settings file"}}
	}
	s, document := decode(path, data)
	if !document.HasSyntaxError() {
		s.checkTokenFiles(document)
	}
	if faults := document.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// Parse decodes and checks settings without access to the files that they name.
// name is the file's name in faults. Relative paths in data are relative to the
// folder of name. The error is of type Faults and holds every fault.
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
	if document.HasSyntaxError() {
		return s, document
	}
	s.fillDerived(filepath.Dir(name))
	s.check(document)
	return s, document
}

// fillDerived sets the settings whose values follow from others. It resolves
// relative paths against the settings file's folder, so that the daemon's working
// directory does not matter.
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

// applyOwnPort sets the port of each control address to the port at which this
// process listens for its peers. It leaves an invalid address unchanged, so that
// check reports it.
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

// replaceZeroDurations replaces 0 by the default in the settings where a duration
// of 0 makes no sense.
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
