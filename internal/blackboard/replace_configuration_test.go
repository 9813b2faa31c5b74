package blackboard

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronstep/citronstep/internal/failure"
)

func validConfiguration(version uint64) ReplaceConfiguration {
	return ReplaceConfiguration{
		Version: version,
		Routes: []Route{{
			Name: "r", Host: "a.example", PathPrefix: "/v1/", Kind: RouteStreaming, TimeoutMillis: 1000, MaxAttempts: 2,
			Backends: []WeightedService{{"pool", 1}},
		}},
		Services: []ServiceSpec{{Name: "pool", Engine: &EngineSpec{Slots: 4, Models: []ModelSpec{{Name: "m", VMs: 2, Share: 1}}}}},
		Workspaces: []Workspace{
			{Name: "w", MoreKeysSHA256: []string{strings.Repeat("a", sha256HexLength), strings.Repeat("b", sha256HexLength)}},
		},
		Document: []byte("as sent"),
	}
}

func replace(t *testing.T, b *Board, c ReplaceConfiguration) (*Board, ReplaceOutcome) {
	t.Helper()
	encoded, err := Encode(&c)
	assert.NilError(t, err)
	next, data, err := b.Apply(encoded)
	assert.NilError(t, err)
	var outcome ReplaceOutcome
	assert.NilError(t, json.Unmarshal(data, &outcome))
	return next, outcome
}

func TestReplaceConfigurationReplacesAllItsParts(t *testing.T) {
	b, outcome := replace(t, New(), validConfiguration(7))
	assert.Assert(t, outcome.Replaced)
	assert.Equal(t, b.Config.Version, uint64(7))
	assert.Equal(t, b.Config.Groups["m"].Pool, "pool")
	assert.Equal(t, string(b.Config.Document), "as sent")

	second := validConfiguration(9)
	second.Routes[0].Name = "other"
	b, _ = replace(t, b, second)
	assert.Equal(t, len(b.Config.Routes), 1)
	assert.Equal(t, b.Config.Routes["other"].Name, "other")
}

// Guards against a lower version in force after two operators race and both changes are
// acknowledged. In any order and on every replica, the higher version must be in force in the
// end. Resending the lower version after that must change nothing.
func TestHighestVersionIsInForceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 12).Draw(rt, "versions")
		b, highest := New(), uint64(0)
		for _, v := range versions {
			c := validConfiguration(v)
			c.Document = []byte(fmt.Sprint("document ", v))
			var outcome ReplaceOutcome
			revision := b.Config.Revision
			b, outcome = replace(t, b, c)
			assert.Equal(t, outcome.Replaced, v > highest)
			assert.Equal(t, b.Config.Revision > revision, v > highest)
			highest = max(highest, v)
			assert.Equal(t, b.Config.Version, highest)
			assert.Equal(t, string(b.Config.Document), fmt.Sprint("document ", highest))
		}
	})
}

// Guards against an invalid configuration that takes effect. It must be refused whatever its
// version is, and change nothing.
func TestInvalidConfigurationIsRefused(t *testing.T) {
	for name, invalidate := range map[string]func(*ReplaceConfiguration){
		"no version":      func(c *ReplaceConfiguration) { c.Version = 0 },
		"unknown service": func(c *ReplaceConfiguration) { c.Routes[0].Backends[0].Service = "none" },
		"weights of 0":    func(c *ReplaceConfiguration) { c.Routes[0].Backends[0].Weight = 0 },
		"negative weight": func(c *ReplaceConfiguration) { c.Routes[0].Backends[0].Weight = -1 },
		"no timeout":      func(c *ReplaceConfiguration) { c.Routes[0].TimeoutMillis = 0 },
		"unknown kind":    func(c *ReplaceConfiguration) { c.Routes[0].Kind = "twice" },
		"invalid prefix":  func(c *ReplaceConfiguration) { c.Routes[0].PathPrefix = "v1" },
		"same host and prefix": func(c *ReplaceConfiguration) {
			second := c.Routes[0]
			second.Name, second.Host = "second", "A.EXAMPLE"
			c.Routes = append(c.Routes, second)
		},
		"same name": func(c *ReplaceConfiguration) { c.Services = append(c.Services, c.Services[0]) },
		"shared key": func(c *ReplaceConfiguration) {
			c.Workspaces = append(c.Workspaces, Workspace{Name: "x", MoreKeysSHA256: c.Workspaces[0].MoreKeysSHA256[:1]})
		},
		"invalid key hash": func(c *ReplaceConfiguration) { c.Workspaces[0].MoreKeysSHA256[0] = "short" },
	} {
		t.Run(name, func(t *testing.T) {
			c := validConfiguration(7)
			invalidate(&c)
			b, outcome := replace(t, New(), c)
			assert.Equal(t, outcome.Failure.Type, failure.TypeBadRequest)
			assert.Equal(t, b.Config.Version, uint64(0))
		})
	}
}

// Guards against large transfers: when all entries restart, each receives a board with hundreds
// of routes. The snapshot and the command must be a fraction of the size of their plain JSON.
func TestConfigurationsAreSentCompressed(t *testing.T) {
	c := validConfiguration(7)
	for i := range 400 {
		r := c.Routes[0]
		r.Name, r.PathPrefix = fmt.Sprint("route-", i), fmt.Sprintf("/v1/%d/", i)
		c.Routes = append(c.Routes, r)
	}
	plain, err := json.Marshal(plainConfiguration(c))
	assert.NilError(t, err)
	encoded, err := Encode(&c)
	assert.NilError(t, err)
	assert.Assert(t, len(encoded)*5 < len(plain), "%d of %d", len(encoded), len(plain))

	b, _ := replace(t, New(), c)
	snapshot, err := b.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(snapshot)*5 < len(plain))
	back, err := Decode(snapshot)
	assert.NilError(t, err)
	assert.DeepEqual(t, back.Config, b.Config)
}

func TestBatchAppliesAcceptedCommandsAndSkipsRefusedOnes(t *testing.T) {
	batch, err := NewBatch([]Command{
		&PutVM{VM: VM{ID: "a", Incarnation: "1", FabricDomain: "d"}},
		&FormGroup{Group: Group{ID: "g", FabricDomain: "d", Members: []GroupMember{{VM: "missing", Incarnation: "1"}}}},
		&FormGroup{Group: Group{ID: "g", FabricDomain: "d", Members: []GroupMember{{VM: "a", Incarnation: "1"}}}},
	})
	assert.NilError(t, err)
	encoded, err := Encode(batch)
	assert.NilError(t, err)
	b, data, err := New().Apply(encoded)
	assert.NilError(t, err)
	var v Verdict
	assert.NilError(t, json.Unmarshal(data, &v))
	assert.Assert(t, v.Applied)
	assert.Equal(t, b.Revision, uint64(1))
	assert.Equal(t, b.VMs["a"].Group, "g")
	assert.Equal(t, b.Groups["g"].State, Forming)
}
