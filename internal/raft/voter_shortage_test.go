package raft

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an operator who can't see that voters are missing, or what is done about it.
func TestVoterShortageNamesWhatTheLeaderDoes(t *testing.T) {
	v := fiveVoterView()
	assert.Equal(t, FindVoterShortage(v), VoterShortage{Wanted: 5, Answering: 5})

	v.ActiveMembers[5], v.FreshMembers[5] = false, false
	assert.Equal(t, FindVoterShortage(v), VoterShortage{Wanted: 5, Answering: 4, Action: ActionNoStandby})

	v.addLearner(6, "f", "x")
	v.CaughtUpMembers[6] = false
	assert.Equal(t, FindVoterShortage(v).Action, ActionCatchUp)
	v.CaughtUpMembers[6] = true
	assert.Equal(t, FindVoterShortage(v).Action, ActionWaitForReturn)
	v.SilentMembers[5] = true
	assert.Equal(t, FindVoterShortage(v).Action, ActionChange)
	for _, id := range []NodeID{2, 3} {
		v.FreshMembers[id] = false
	}
	assert.Equal(t, FindVoterShortage(v).Action, ActionWaitForVoters)
}

// Guards against a vacancy that is not shown because all listed voters answer.
func TestVacancyIsAShortage(t *testing.T) {
	v := sampleView()
	v.TargetVoters = 5
	assert.Equal(t, FindVoterShortage(v), VoterShortage{Wanted: 5, Answering: 3, Action: ActionNoStandby})
}
