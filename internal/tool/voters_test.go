package tool

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
)

// Guards against a summary that hides missing voters, since when, or what is done.
func TestSummaryNamesMissingVoters(t *testing.T) {
	assert.Equal(t, votersText(adminapi.Voters{Wanted: 5, Answering: 5}), "5 of 5 answer")
	missing := adminapi.Voters{Wanted: 5, Answering: 3, MissingMillis: 61_400, Action: "no control VM stands by"}
	assert.Equal(t, votersText(missing), "3 of 5 answer, for 1m1s; no control VM stands by")
	assert.Equal(t, votersText(adminapi.Voters{}), "not known: the process that answers does not lead")
}
