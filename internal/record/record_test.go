package record

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

func applyCommand(t *testing.T, table *Table, c Command) Outcome {
	t.Helper()
	data, err := EncodeCommand(c)
	assert.NilError(t, err)
	var out Outcome
	assert.NilError(t, json.Unmarshal(table.Apply(data), &out))
	return out
}

// applyInSteps applies c. For an Expire it first applies the earlier Expires that a
// leader would have sent, because one Expire advances the clock only by
// MaxClockStepMillis.
func applyInSteps(t *testing.T, table *Table, c Command) {
	t.Helper()
	if c.Expire == nil {
		applyCommand(t, table, c)
		return
	}
	for at := int64(1); at < c.Expire.NowMillis; at += MaxClockStepMillis {
		table.apply(Command{Expire: &Expire{at}})
	}
	applyCommand(t, table, c)
}

// Guards against a request that runs twice because of a wrong clock. A new leader's
// clock is a day ahead. If its clock expired the record of a request that has just
// run, a resend would run the request again.
func TestLeaderClockAheadExpiresNothing(t *testing.T) {
	table := NewTable()
	applyCommand(t, table, Command{Expire: &Expire{1000}})
	applyCommand(t, table, claim("k", "a", 1000))
	applyCommand(t, table, Command{Finish: &Finish{"k", "a", &Answer{Status: 200}, 1001}})
	for range 100 {
		applyCommand(t, table, Command{Expire: &Expire{1000 + 25*60*60*1000}})
	}
	out := applyCommand(t, table, claim("k", "b", 2000))
	assert.Assert(t, !out.Granted)
	assert.Equal(t, out.State, Done)
}

// Guards against a workspace that sends new keys without end. Claims of other
// workspaces must still be granted.
func TestOneWorkspaceCantFillTheTable(t *testing.T) {
	table := NewTable()
	for i := range MaxRecords {
		table.apply(claim("greedy/"+strconv.Itoa(i), "a", 0))
	}
	assert.Equal(t, table.Len(), MaxRecords/WorkspaceShareDivisor)
	assert.Assert(t, applyCommand(t, table, claim("greedy/x", "a", 0)).TableFull)
	assert.Assert(t, applyCommand(t, table, claim("other/x", "a", 0)).Granted)
}

func claim(key, attempt string, now int64) Command {
	return Command{Claim: &Claim{Key: key, BodyHash: "b", Entry: "e", Attempt: attempt, DeadlineMillis: now + 100, NowMillis: now}}
}

// Guards against a request that runs on two entries. A caller sends one request to two
// entries at once, and both claim it. The log orders the claims, and only one of the
// two attempts may run the request.
func TestOneClaimOfAKeyIsGranted(t *testing.T) {
	table := NewTable()
	assert.Assert(t, applyCommand(t, table, claim("k", "a", 0)).Granted)
	second := applyCommand(t, table, claim("k", "b", 0))
	assert.Assert(t, !second.Granted)
	assert.Equal(t, second.State, Claimed)
	assert.Assert(t, applyCommand(t, table, claim("k", "a", 0)).Granted, "the same attempt resent")
}

func TestClaimOutcomes(t *testing.T) {
	answer := &Answer{Status: 200, Body: []byte("whole")}
	long := &Answer{Status: 200, Body: make([]byte, MaxAnswerBytes+1)}
	for _, c := range []struct {
		name  string
		then  []Command
		state State
		// granted is set if a resend may run. answered is set if it gets an answer.
		granted, answered bool
	}{
		{"no command", nil, Claimed, false, false},
		{"abandoned", []Command{{Abandon: &Abandon{"k", "a"}}}, Claimed, true, false},
		{"abandoned by another attempt", []Command{{Abandon: &Abandon{"k", "x"}}}, Claimed, false, false},
		{"answered", []Command{{Finish: &Finish{"k", "a", answer, 1}}}, Done, false, true},
		{"answered by another attempt", []Command{{Finish: &Finish{"k", "x", answer, 1}}}, Claimed, false, false},
		{"answered, then abandoned", []Command{{Finish: &Finish{"k", "a", answer, 1}}, {Abandon: &Abandon{"k", "a"}}}, Done, false, true},
		{"outcome unknown", []Command{{Finish: &Finish{"k", "a", nil, 1}}}, Unknown, false, false},
		{"entry reports nothing before the deadline", []Command{{Expire: &Expire{101}}}, Unknown, false, false},
		{"entry answers after the deadline", []Command{{Expire: &Expire{101}}, {Finish: &Finish{"k", "a", answer, 102}}}, Done, false, true},
		{"abandoned after the deadline", []Command{{Expire: &Expire{101}}, {Abandon: &Abandon{"k", "a"}}}, Unknown, false, false},
		{"answer too long to keep", []Command{{Finish: &Finish{"k", "a", long, 1}}}, Done, false, false},
		{"answer expired", []Command{{Finish: &Finish{"k", "a", answer, 1}}, {Expire: &Expire{AnswerLifetimeMillis + 2}}}, Done, false, false},
		{"tombstone expired", []Command{{Finish: &Finish{"k", "a", answer, 1}}, {Expire: &Expire{TombstoneLifetimeMillis + 2}}}, Claimed, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			applyCommand(t, table, claim("k", "a", 0))
			for _, x := range c.then {
				applyInSteps(t, table, x)
			}
			out := applyCommand(t, table, claim("k", "b", 1))
			assert.Equal(t, out.Granted, c.granted)
			assert.Equal(t, out.State, c.state)
			assert.Equal(t, out.Answer != nil, c.answered)
		})
	}
}

// Guards against an answer to the wrong request. A caller reuses a key for a request
// with another body, which must not get the answer of the first request.
func TestKeyIsBoundToItsBody(t *testing.T) {
	table := NewTable()
	applyCommand(t, table, claim("k", "a", 0))
	other := claim("k", "b", 0)
	other.Claim.BodyHash = "another"
	assert.Assert(t, applyCommand(t, table, other).KeyReused)
}

func TestKeptAnswersAreBounded(t *testing.T) {
	table := NewTable()
	const keys = MaxTotalAnswerBytes/MaxAnswerBytes + 10
	for i := range keys {
		key := strconv.Itoa(i)
		applyCommand(t, table, claim(key, "a", 0))
		applyCommand(t, table, Command{Finish: &Finish{key, "a", &Answer{Body: make([]byte, MaxAnswerBytes)}, 1}})
	}
	assert.Equal(t, table.answerBytes, MaxTotalAnswerBytes)
	assert.Assert(t, applyCommand(t, table, claim("0", "b", 2)).Answer == nil)
	assert.Assert(t, applyCommand(t, table, claim(strconv.Itoa(keys-1), "b", 2)).Answer != nil)
}

// Checks two invariants under random commands. A key is granted to one attempt at a
// time. Once its record is Done or Unknown, the key is granted to no attempt while the
// tombstone exists. A table restored from a snapshot must behave alike.
func TestRandomCommandsGrantAtMostOnce(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		table := NewTable()
		holder := map[string]string{}
		for now := range int64(400) {
			key, attempt := strconv.Itoa(random.IntN(4)), strconv.Itoa(random.IntN(6))
			c := randomCommand(random, key, attempt, now)
			out := applyCommand(t, table, c)
			if c.Claim != nil && out.Granted {
				assert.Assert(t, holder[key] == "" || holder[key] == attempt, "seed %d", seed)
				holder[key] = attempt
			}
			if c.Abandon != nil && out.Granted {
				assert.Equal(t, holder[key], attempt)
				delete(holder, key)
			}
			if random.IntN(20) == 0 {
				table = restoreFromSnapshot(t, table)
			}
		}
	}
}

func randomCommand(random *rand.Rand, key, attempt string, now int64) Command {
	switch random.IntN(5) {
	case 0:
		return Command{Finish: &Finish{key, attempt, &Answer{Body: []byte(key)}, now}}
	case 1:
		return Command{Abandon: &Abandon{key, attempt}}
	case 2:
		return Command{Expire: &Expire{now}}
	}
	return claim(key, attempt, now)
}

func restoreFromSnapshot(t *testing.T, table *Table) *Table {
	data, err := table.EncodeSnapshot()
	assert.NilError(t, err)
	again, err := DecodeSnapshot(data)
	assert.NilError(t, err)
	return again
}
