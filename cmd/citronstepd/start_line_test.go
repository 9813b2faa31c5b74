package main

import (
	"bytes"
	"encoding/binary"
	"os"
	"os/exec"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/citronstep/citronstep/internal/settings"
)

// Guards against logs of two builds that can't be told apart.
func TestBuildRevisionNamesTheBuild(t *testing.T) {
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "2571b92"}
	modified := debug.BuildSetting{Key: "vcs.modified", Value: "true"}
	clean := debug.BuildSetting{Key: "vcs.modified", Value: "false"}
	for _, c := range []struct {
		want     string
		settings []debug.BuildSetting
	}{
		{"2571b92", []debug.BuildSetting{revision, clean}},
		{"2571b92+modified", []debug.BuildSetting{modified, revision}},
		{"unknown", []debug.BuildSetting{modified}},
		{"unknown", nil},
	} {
		assert.Equal(t, buildRevision(&debug.BuildInfo{Settings: c.settings}, true), c.want)
	}
	assert.Equal(t, buildRevision(nil, false), "unknown")
}

// Guards against a start whose line does not say which process began, and under which limits.
func TestStartLineNamesTheProcess(t *testing.T) {
	var lines bytes.Buffer
	logStarted(log.NewLogfmtLogger(&lines), &settings.Settings{DataCentre: "d1"}, previousEnd(nil))
	for _, want := range []string{"event=started entry=false control=false data_centre=d1 build=", " pid=", " max_descriptors=", " max_address_space=", " previous_end=unknown"} {
		assert.Assert(t, is.Contains(lines.String(), want))
	}
}

// Guards against two programs without a revision whose logs can't be told apart.
func TestBuildWithoutARevisionIsNamedByItsContent(t *testing.T) {
	id, err := contentID(os.Args[0])
	assert.NilError(t, err)
	out, err := exec.Command("go", "tool", "buildid", os.Args[0]).Output()
	assert.NilError(t, err)
	assert.Assert(t, len(id) > 10 && strings.HasSuffix(strings.TrimSpace(string(out)), "/"+id), "%s is not the end of %s", id, out)
	_, err = contentID("/no/such/file")
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}

// Guards against a damaged note that ends the process at its start.
func TestDamagedBuildNotesAreNoBuildID(t *testing.T) {
	long := make([]byte, noteHeaderLength)
	long[noteSizeOffset] = 1
	for _, note := range [][]byte{nil, make([]byte, 3), make([]byte, noteHeaderLength), long} {
		_, err := contentIDOfNote(note, binary.LittleEndian)
		assert.Assert(t, errors.Is(err, errNoBuildID))
	}
}
