package blackboard

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// randomConfiguration returns a configuration with random rows, so that successive versions
// differ in some of them.
func randomConfiguration(r *rand.Rand, version uint64) *ReplaceConfiguration {
	c := &ReplaceConfiguration{Version: version, Document: []byte(fmt.Sprint("document ", version))}
	c.Limits.MaxBodyBytes = int64(r.IntN(3))
	for i := range 3 {
		if i > 0 && r.IntN(3) == 0 {
			continue
		}
		s := ServiceSpec{Name: fmt.Sprint("s", i), MaxConnections: r.IntN(2)}
		if i == 0 {
			s.Engine = &EngineSpec{Slots: 1 + r.IntN(2), Models: []ModelSpec{{Name: fmt.Sprint("m", r.IntN(2)), VMs: 2, Share: 1}}}
		}
		c.Services = append(c.Services, s)
	}
	for i := range 8 {
		if r.IntN(3) == 0 {
			continue
		}
		c.Routes = append(c.Routes, Route{
			Name: fmt.Sprint("r", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Kind: RouteIdempotent,
			TimeoutMillis: int64(1 + r.IntN(2)), MaxAttempts: 1, Backends: []WeightedService{{Service: "s0", Weight: 1 + r.IntN(2)}},
		})
	}
	for i := range 3 {
		if r.IntN(3) > 0 {
			c.Workspaces = append(c.Workspaces, Workspace{Name: fmt.Sprint("w", i), KeySHA256: fmt.Sprint(i, r.IntN(2))})
		}
	}
	return c
}

// Guards against a patch that omits a changed row or keeps a removed one while operators replace
// the configuration repeatedly. An entry would then serve under a configuration that no operator
// sent. Each entry copy must equal the control processes' board except for the document.
func TestPatchedEntryCopyEqualsSnapshot(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 7))
		board, entry := New(), New().entryCopy()
		var changes []Change
		for version := uint64(1); version < 30; version++ {
			command, err := Encode(randomConfiguration(r, version))
			assert.NilError(t, err)
			if r.IntN(4) == 0 {
				command, err = Encode(&PutEntry{Entry: Entry{ID: fmt.Sprint("e", version)}})
				assert.NilError(t, err)
			}
			after, _, change, err := board.ApplyChange(command)
			assert.NilError(t, err)
			changes = append(changes, change)
			board = after
			if r.IntN(3) == 0 {
				continue
			}
			entry = patched(t, board, entry, changes)
			changes = nil

			snapshot, err := board.EncodeForEntries()
			assert.NilError(t, err)
			want, err := Decode(snapshot)
			assert.NilError(t, err)
			assert.DeepEqual(t, entry, want)
		}
	}
}

// Guards against patches whose size grows with the number of unchanged routes: one of 1,480
// routes changes.
func TestPatchOfALargeConfigurationIsSmall(t *testing.T) {
	c := &ReplaceConfiguration{Version: 1, Services: []ServiceSpec{{Name: "s"}}}
	for i := range 1480 {
		c.Routes = append(c.Routes, Route{
			Name: fmt.Sprint("route-", i), Host: "h", PathPrefix: fmt.Sprintf("/%x/", i*7919), Kind: RouteIdempotent,
			TimeoutMillis: 1000, MaxAttempts: 1, Backends: []WeightedService{{Service: "s", Weight: 1}},
		})
	}
	first, err := Encode(c)
	assert.NilError(t, err)
	before, _, err := New().Apply(first)
	assert.NilError(t, err)
	c.Version, c.Routes[700].TimeoutMillis = 2, 900
	second, err := Encode(c)
	assert.NilError(t, err)
	after, _, change, err := before.ApplyChange(second)
	assert.NilError(t, err)
	patch, err := after.PatchFor([]Change{change})
	assert.NilError(t, err)
	assert.Assert(t, len(patch) < 600, "%d bytes", len(patch))
	assert.Assert(t, len(second) > 10_000, "%d bytes", len(second))
	t.Logf("configuration %d bytes, patch %d bytes", len(second), len(patch))
}
