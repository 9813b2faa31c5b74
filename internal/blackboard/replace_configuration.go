package blackboard

import (
	"bytes"
	"strings"

	"github.com/citronstep/citronstep/internal/failure"
)

// ReplaceConfiguration replaces the complete configuration. The highest version ever accepted is
// in force.
type ReplaceConfiguration struct {
	// Version is the operators' version number of this configuration.
	Version    uint64        `json:"version"`
	Routes     []Route       `json:"routes"`
	Services   []ServiceSpec `json:"services"`
	Workspaces []Workspace   `json:"workspaces"`
	Limits     CallerLimits  `json:"limits"`
	// Document is the configuration as the operator sent it, for reading it back.
	Document []byte `json:"document,omitempty"`
}

// CallerLimits bounds the size and duration of callers' requests. A zero field leaves the
// entry's own limit in force.
type CallerLimits struct {
	MaxHeaderBytes      int   `json:"max_header_bytes,omitempty" toml:"max_header_bytes"`
	MaxBodyBytes        int64 `json:"max_body_bytes,omitempty" toml:"max_body_bytes"`
	HeaderTimeoutMillis int64 `json:"header_timeout_ms,omitempty" toml:"header_timeout_ms"`
	IdleTimeoutMillis   int64 `json:"idle_timeout_ms,omitempty" toml:"idle_timeout_ms"`
}

// ReplaceOutcome is the result of a ReplaceConfiguration.
type ReplaceOutcome struct {
	// Version is the version in force after the command.
	Version uint64 `json:"version"`
	// Replaced is false if an equal or higher version was already in force.
	Replaced bool           `json:"replaced"`
	Failure  *failure.Error `json:"failure,omitempty"`
}

// apply replaces the configuration if the new version is higher than the version in force. An
// expected revision is not needed: if two operators race, the higher version wins in any log
// order, and a resent command changes nothing.
func (c ReplaceConfiguration) apply(d *draft) (any, bool) {
	inForce := d.Config.Version
	if e := c.Validate(); e != nil {
		return ReplaceOutcome{Version: inForce, Failure: e}, false
	}
	if c.Version <= inForce {
		return ReplaceOutcome{Version: inForce}, false
	}
	next := d.Config.clone()
	c.edit(&next)
	next.Revision = d.Config.Revision + 1
	d.Config = next
	return ReplaceOutcome{Version: c.Version, Replaced: true}, true
}

// Validate returns an error if the configuration is invalid. It does not compare the version with
// the version in force.
func (c ReplaceConfiguration) Validate() *failure.Error {
	if c.Version == 0 {
		return failure.New(failure.TypeBadRequest, "a configuration needs a version over 0").WithDetail("version")
	}
	if e := c.checkUniqueMatches(); e != nil {
		return e
	}
	if e := c.checkUniqueKeys(); e != nil {
		return e
	}
	replaced := Configuration{}
	c.edit(&replaced)
	if len(replaced.Routes) != len(c.Routes) || len(replaced.Services) != len(c.Services) || len(replaced.Workspaces) != len(c.Workspaces) {
		return failure.New(failure.TypeBadRequest, "a name of a route, service or workspace stands twice")
	}
	return replaced.validate()
}

// checkUniqueMatches returns an error if two routes match the same host and path prefix.
func (c ReplaceConfiguration) checkUniqueMatches() *failure.Error {
	type routeMatch struct{ host, prefix string }
	seen := make(map[routeMatch]string, len(c.Routes))
	for _, r := range c.Routes {
		p := routeMatch{strings.ToLower(r.Host), r.PathPrefix}
		if other, taken := seen[p]; taken {
			return failure.New(failure.TypeBadRequest, "routes "+other+" and "+r.Name+" have the same host and path prefix").
				WithDetail("routes." + r.Name)
		}
		seen[p] = r.Name
	}
	return nil
}

// checkUniqueKeys returns an error if two workspaces share a key, because requests with that key
// could not be attributed to one workspace.
func (c ReplaceConfiguration) checkUniqueKeys() *failure.Error {
	owner := make(map[string]string)
	for _, w := range c.Workspaces {
		for _, hash := range w.keyHashes() {
			if other, taken := owner[hash]; taken && other != w.Name {
				return failure.New(failure.TypeBadRequest, "workspaces "+other+" and "+w.Name+" share a key").
					WithDetail("workspaces." + w.Name)
			}
			owner[hash] = w.Name
		}
	}
	return nil
}

// edit replaces every part that a ReplaceConfiguration contains, and derives the groups.
func (c ReplaceConfiguration) edit(to *Configuration) {
	to.Version = c.Version
	to.Limits = c.Limits
	to.Document = bytes.Clone(c.Document)
	to.Routes = make(map[string]Route, len(c.Routes))
	for _, r := range c.Routes {
		to.Routes[r.Name] = r
	}
	to.Workspaces = make(map[string]Workspace, len(c.Workspaces))
	for _, w := range c.Workspaces {
		to.Workspaces[w.Name] = w
	}
	to.Services = make(map[string]ServiceSpec, len(c.Services))
	for _, s := range c.Services {
		to.Services[s.Name] = s
	}
	to.Groups = groupSpecsOf(to.Services)
}

// groupSpecsOf returns the group specs of the models of all services.
func groupSpecsOf(services map[string]ServiceSpec) map[string]GroupSpec {
	groups := make(map[string]GroupSpec)
	for _, name := range sortedKeys(services) {
		for _, g := range services[name].groupSpecs() {
			groups[g.Name] = g
		}
	}
	return groups
}
