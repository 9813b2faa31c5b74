package blackboard

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// twoDataCentres returns a board with two data centres. Each has a serving group of a pool with
// a rate for cold instances, and an instance of a plain service.
func twoDataCentres(t *testing.T) *Board {
	t.Helper()
	b := New()
	apply := func(c Command) {
		data, err := Encode(c)
		assert.NilError(t, err)
		b, _, err = b.Apply(data)
		assert.NilError(t, err)
	}
	apply(&ReplaceConfiguration{Version: 1, Services: []ServiceSpec{
		{Name: "pool", ColdMillis: 3000, ColdPerSecond: 26, Engine: &EngineSpec{Slots: 1, Models: []ModelSpec{{Name: "m", VMs: 1}}}},
		{Name: "files"},
	}})
	for i, dataCentre := range []string{"east", "west"} {
		id, name := fmt.Sprint("vm-", dataCentre), fmt.Sprint("m-", i)
		apply(&PutVM{VM: VM{ID: id, Incarnation: id + "@1", DataCentre: dataCentre, FabricDomain: dataCentre, Pool: "pool"}})
		member := GroupMember{VM: id, Incarnation: id + "@1"}
		apply(&FormGroup{Group: Group{ID: name, Spec: "m", Model: "m", FabricDomain: dataCentre, DataCentre: dataCentre, Members: []GroupMember{member}, RequiresOpenHead: true}})
		for _, step := range [][2]GroupState{{Forming, Loading}, {Loading, Serving}} {
			apply(&SetGroupState{Group: name, Epoch: b.Groups[name].Epoch, From: step[0], To: step[1]})
		}
		apply(&PutService{Instance: ServiceInstance{ID: "file-" + dataCentre, Service: "files", Incarnation: "file", DataCentre: dataCentre}})
	}
	return b
}

// order applies an evacuation order and returns its outcome.
func order(t *testing.T, b *Board, c SetEvacuation) (*Board, EvacuationOutcome) {
	t.Helper()
	data, err := Encode(&c)
	assert.NilError(t, err)
	next, result, err := b.Apply(data)
	assert.NilError(t, err)
	var outcome EvacuationOutcome
	assert.NilError(t, json.Unmarshal(result, &outcome))
	return next, outcome
}

// Guards against a resent order that is refused or takes effect a second time.
func TestResentEvacuationOrderChangesNothing(t *testing.T) {
	b := twoDataCentres(t)
	b, first := order(t, b, SetEvacuation{DataCentre: "east", NowMillis: 5})
	assert.Assert(t, first.Changed)
	assert.Equal(t, first.Revision, b.Revision)
	assert.Assert(t, b.EvacuatesGroup(b.Groups["m-0"]))
	assert.Assert(t, !b.EvacuatesGroup(b.Groups["m-1"]))

	again, second := order(t, b, SetEvacuation{DataCentre: "east", NowMillis: 9})
	assert.Assert(t, again == b && !second.Changed)
	assert.Equal(t, second.Revision, first.Revision)

	b, ended := order(t, b, SetEvacuation{DataCentre: "east", End: true})
	assert.Assert(t, ended.Changed)
	assert.Assert(t, !b.Evacuated("east"))
	_, endedAgain := order(t, b, SetEvacuation{DataCentre: "east", End: true})
	assert.Assert(t, !endedAgain.Changed && endedAgain.Failure == nil)

	_, nameless := order(t, b, SetEvacuation{})
	assert.Assert(t, nameless.Failure != nil)
}

// Guards against backend servers that become cold during an evacuation and receive their full
// share when it ends.
func TestBackendServersArePresumedColdWhenAnEvacuationEnds(t *testing.T) {
	b := twoDataCentres(t)
	b, _ = order(t, b, SetEvacuation{DataCentre: "east"})
	assert.Equal(t, len(b.ColdServers), 0)
	b, _ = order(t, b, SetEvacuation{DataCentre: "east", End: true})
	assert.DeepEqual(t, b.ColdServers, map[string]ColdServer{"vm-east@1": {Service: "pool"}})
}

// Guards against an evacuation or a cold mark that is missing from a snapshot or a patch.
func TestEvacuationsAndColdServersReachCopies(t *testing.T) {
	before := twoDataCentres(t)
	data, err := Encode(&SetEvacuation{DataCentre: "west", NowMillis: 7})
	assert.NilError(t, err)
	evacuated, _, change, err := before.ApplyChange(data)
	assert.NilError(t, err)
	assert.Assert(t, change.AffectsEntries())
	data, err = Encode(&MarkCold{Incarnation: "vm-east@1", Service: "pool"})
	assert.NilError(t, err)
	marked, _, cold, err := evacuated.ApplyChange(data)
	assert.NilError(t, err)

	snapshot, err := marked.Encode()
	assert.NilError(t, err)
	restored, err := Decode(snapshot)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.Evacuations, marked.Evacuations)
	assert.DeepEqual(t, restored.ColdServers, marked.ColdServers)

	patch, err := marked.PatchFor([]Change{change, cold})
	assert.NilError(t, err)
	patched, err := before.entryCopy().ApplyAll([][]byte{patch})
	assert.NilError(t, err)
	want := marked.entryCopy()
	assert.DeepEqual(t, patched.Evacuations, want.Evacuations)
	assert.DeepEqual(t, patched.ColdServers, want.ColdServers)
}
