package tool

import (
	"flag"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/tomlfile"
)

func replaceCommand() command {
	return command{
		name:      "replace",
		arguments: "FILE.toml",
		summary:   "Replace the complete configuration of routes, services and workspaces",
		details: `Sends the document as the complete configuration: routes, services, workspaces and
limits that it lacks are removed. The document with the highest version ever accepted
is in force, whatever the order of arrival, so it is safe to send a document again.
Waits until it is in force everywhere.

Example: citronstep replace routes.toml
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			wait := set.Duration("wait", defaultWait, "how long to wait until the configuration is in force everywhere; 0 returns once it is accepted")
			return func(i *invocation) error {
				if err := i.requireArgs(1); err != nil {
					return err
				}
				replacement, err := loadReplacementDocument(i.args[0])
				if err != nil {
					return err
				}
				return i.replace(replacement, *wait)
			}
		},
	}
}

// replacementDocument is a complete configuration, the input of replace.
type replacementDocument struct {
	Version    uint64                   `toml:"version"`
	Routes     []blackboard.Route       `toml:"route"`
	Services   []blackboard.ServiceSpec `toml:"service"`
	Workspaces []documentWorkspace      `toml:"workspace"`
	Limits     blackboard.CallerLimits  `toml:"limits"`
}

// loadReplacementDocument reads and checks the document at path. The error lists the faults of
// the file with their positions, or the first rule that the configuration violates.
func loadReplacementDocument(path string) (*blackboard.ReplaceConfiguration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usagef("%v", err)
	}
	var d replacementDocument
	source := tomlfile.Decode(path, data, &d)
	if !source.HasSyntaxError() {
		resolveKeys(source, d.Workspaces, filepath.Dir(path))
	}
	if err := source.Faults().ErrorOrNil(); err != nil {
		return nil, err
	}
	replacement := &blackboard.ReplaceConfiguration{Version: d.Version, Routes: d.Routes, Services: d.Services, Limits: d.Limits}
	for _, w := range d.Workspaces {
		replacement.Workspaces = append(replacement.Workspaces, w.blackboardWorkspace())
	}
	if e := replacement.Validate(); e != nil {
		return nil, usagef("%s: %s (%s)", path, e.Message, e.Detail)
	}
	return replacement, nil
}

// replace sends a complete configuration and waits until it is in force.
func (i *invocation) replace(replacement *blackboard.ReplaceConfiguration, wait time.Duration) error {
	var reply adminapi.ReplaceReply
	if err := i.admin.post(i.ctx, adminapi.PathReplaceConfiguration, replacement, &reply, ""); err != nil {
		return errors.Trace(err)
	}
	waited := i.awaitInForce(wait, reply.Revision)
	if i.json {
		if err := i.printJSON(reply); err != nil {
			return errors.Trace(err)
		}
		return waited
	}
	i.printReplaceResult(replacement.Version, reply, waited == nil && wait > 0)
	return waited
}

// printReplaceResult prints which version is in force after version sent was sent.
func (i *invocation) printReplaceResult(sent uint64, r adminapi.ReplaceReply, inForce bool) {
	switch {
	case r.Version > sent:
		i.printf("no change: version %d is newer than the %d that was sent", r.Version, sent)
	case !r.Replaced:
		i.printf("no change: version %d was accepted before, as revision %d or earlier", r.Version, r.Revision)
	case inForce:
		i.printf("version %d is accepted as revision %d and in force everywhere", r.Version, r.Revision)
	default:
		i.printf("version %d is accepted as revision %d", r.Version, r.Revision)
	}
}
