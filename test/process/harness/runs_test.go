package harness

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/standin"
)

// Guards against runs that are listed in the order of the stand-ins instead of their start times.
// A test then took the first run of a request for the second, because the stand-in that ran it
// first came last in the list.
func TestRunsComeInTheOrderInWhichTheyStarted(t *testing.T) {
	folder := t.TempDir()
	at := time.Now()
	record := func(name string, started time.Time) *Standin {
		path := filepath.Join(folder, name)
		line, err := json.Marshal(standin.Run{Server: name, Work: "memo", Started: started})
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(path, append(line, '\n'), 0o600))
		return &Standin{ID: name, t: t, runs: path}
	}
	c := &Cluster{T: t, Standins: []*Standin{record("late", at.Add(time.Second)), record("early", at)}}
	runs := c.RunsOf("memo")
	assert.Equal(t, runs[0].Server, "early")
	assert.Equal(t, runs[1].Server, "late")
}
