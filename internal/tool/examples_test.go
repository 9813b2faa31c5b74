package tool

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/settings"
)

const examplesFolder = "../../examples"

func TestExampleConfigurationsAreValid(t *testing.T) {
	paths, err := filepath.Glob(examplesFolder + "/*/configuration.toml")
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 3)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		d := parseDocument(path, data)
		assert.NilError(t, d.source.Faults().ErrorOrNil())
		_, err = makePlan(blackboard.Configuration{}, d, false)
		assert.NilError(t, err)
		assert.Assert(t, d.ActivePreset != "")
	}
}

// The settings files of one deployment must name the same control processes. Otherwise its
// processes would initialise two clusters or follow different ones.
func TestExampleSettingsAreValidAndConsistent(t *testing.T) {
	for _, folder := range []string{"one-machine", "verifica", "halvorsen"} {
		paths, err := filepath.Glob(examplesFolder + "/" + folder + "/*.toml")
		assert.NilError(t, err)
		var control []string
		for _, path := range paths {
			if filepath.Base(path) == "configuration.toml" {
				continue
			}
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			s, err := settings.Parse(path, data)
			assert.NilError(t, err)
			if control == nil {
				control = s.Peers.Control
			}
			assert.DeepEqual(t, s.Peers.Control, control)
			assert.Equal(t, s.Control.Enabled, slices.Contains(control, s.Peers.Advertise), path)
		}
		assert.Equal(t, len(control), settings.DefaultVoters, folder)
	}
}
