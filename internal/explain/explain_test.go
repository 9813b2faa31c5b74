package explain

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// entryLog and leaderLog are the logs of a stream whose group loses a member. The leader's
// clock is 300 ms ahead.
const entryLog = `
 18.1 front-1 ts=2026-03-13T01:29:38.100Z level=info vm=front-1 part=entry event=route request=abc.1 attempt=abc.1.1 model=m choice=m-8 reason=two_choices queued_ms=0
ts=2026-03-13T01:29:38.150Z level=info vm=front-1 part=entry event=route request=other.1 choice=m-8
ts=2026-03-13T01:29:38.800Z level=info vm=front-1 part=entry event=group_stalled group=m-8 epoch=7 silent_ms=630
ts=2026-03-13T01:29:38.810Z level=info vm=front-1 part=entry event=attempt_ended request=abc.1 attempt=abc.1.1 target=m-8 outcome=stalled err="backend_stalled: the group makes no progress or is broken"
ts=2026-03-13T01:29:38.820Z level=info vm=front-1 part=entry event=route request=abc.1 attempt=abc.1.2 model=m choice=m-9 reason=two_choices queued_ms=0
ts=2026-03-13T01:29:39.500Z level=info vm=front-1 part=entry event=answer request=abc.1 attempts=2 queued_ms=0 first_ms=90 took_ms=1400 late=false
this is no line of a log
`

const leaderLog = `
ts=2026-03-13T01:29:39.050Z level=info vm=core-1 part=control event=group_suspected group=m-8 epoch=7 by=front-1 silent_ms=240
ts=2026-03-13T01:29:39.060Z level=info vm=core-1 part=control event=decision kind=break subject=m-8 choice=broken runner_up=wait reason="no entry gets answers"
ts=2026-03-13T01:29:39.070Z level=info vm=core-1 part=control event=decision kind=break subject=m-3 choice=broken runner_up=wait reason="another"
ts=2026-03-13T01:39:39.070Z level=info vm=core-1 part=control event=decision kind=break subject=m-8 choice=broken runner_up=wait reason="ten minutes later"
`

func logs(t *testing.T, texts ...string) *Logs {
	t.Helper()
	l := &Logs{}
	for _, text := range texts {
		assert.NilError(t, l.Read(strings.NewReader(text)))
	}
	return l
}

// A stream was delayed because its group lost a member. Given the logs of an entry and of the
// leader, whose clocks differ, and the request id, the explanation must contain the related
// lines only, and name the group and the cause.
func TestExplainResumedStream(t *testing.T) {
	story, err := logs(t, leaderLog, entryLog).Explain("abc", time.Second)
	assert.NilError(t, err)
	var events []string
	for _, line := range story.Lines {
		events = append(events, line.Event)
	}
	assert.DeepEqual(t, events, []string{
		"route", "group_stalled", "attempt_ended", "route", "group_suspected", "decision", "answer",
	})
	assert.Assert(t, is.Contains(story.Cause, "answered after 90 ms, in attempt 2"))
	assert.Assert(t, is.Contains(story.Cause, `m-8, a group that core-1 took out of service at 01:29:39.060 because no entry gets answers`))
}

// A request reached an entry without links to backend servers. Given the logs of both entries, the
// explanation must contain the lost path and the relay, and name both entries.
func TestExplainRelayedRequest(t *testing.T) {
	const entry = `
ts=2026-03-13T01:29:38.000Z vm=front-1 event=server_relayed server=10.0.0.1:80 cause="connection refused" relayed_servers=1
ts=2026-03-13T01:29:38.050Z vm=front-1 event=server_relayed server=10.0.0.9:80 cause="connection refused" relayed_servers=2
ts=2026-03-13T01:29:38.100Z vm=front-1 event=route request=abc.1 attempt=abc.1.1 choice=m-8 queued_ms=0
ts=2026-03-13T01:29:38.110Z vm=front-1 event=relayed request=abc.1 attempt=abc.1.1 target=m-8 server=10.0.0.1:80 peer=front-2
ts=2026-03-13T01:29:39.500Z vm=front-1 event=answer request=abc.1 attempts=1 queued_ms=0 first_ms=90 took_ms=1400 late=false
`
	const peer = `
ts=2026-03-13T01:29:39.510Z vm=front-2 event=relay_ended request=abc for=front-1 server=10.0.0.1:80 outcome=complete took_ms=1390
`
	story, err := logs(t, entry, peer).Explain("abc", time.Second)
	assert.NilError(t, err)
	var events []string
	for _, line := range story.Lines {
		events = append(events, line.Event)
	}
	assert.DeepEqual(t, events, []string{"server_relayed", "route", "relayed", "answer", "relay_ended"})
	assert.Assert(t, is.Contains(story.Cause, "answered after 90 ms, relayed by front-2, as front-1 did not reach 10.0.0.1:80 itself"))
	story, err = logs(t, peer).Explain("abc", time.Second)
	assert.NilError(t, err)
	assert.Assert(t, is.Contains(story.Cause, "the log of the entry that took it is missing"))
}

func TestRefusalCauses(t *testing.T) {
	line := func(rest string) string { return "ts=2026-03-13T01:29:38.1Z vm=front-1 " + rest + "\n" }
	ended := line(`event=attempt_ended request=abc.1 target=10.0.0.1:80 outcome=broken err="backend_failed: read: connection reset by peer"`)
	for _, c := range []struct{ name, log, want string }{
		{"under load", line(`event=refuse request=abc.1 type=deadline_exceeded ran=no reason="refused: deadline_unreachable" queued_ms=3 left_ms=800 retry_after_ms=900`),
			"before anything was sent (refused: deadline_unreachable) after 3 ms in the queue, with 800 ms left; it did not run, and the caller was asked to retry after 900 ms"},
		{"its answer was lost", ended + line(`event=refuse request=abc.1 type=outcome_unknown ran=unknown reason="its outcome is unknown"`),
			"connection reset by peer). It may run once only and had been sent, so it was not sent again"},
		{"no attempt left", ended + line(`event=refuse request=abc.1 type=backend_failed ran=unknown reason="x"`), "no further attempt was left"},
		{"no budget left", ended + line(`event=refuse request=abc.1 type=backend_failed ran=unknown reason="x" detail="no further attempt: the retry budget of service pool is spent"`),
			"no further attempt: the retry budget of service pool is spent."},
		{"rejected everywhere", ended + line(`event=refuse request=abc.1 type=overloaded ran=no reason="x"`), "surely nothing ran"},
		{"without a configuration", line(`event=refuse request=abc type=configuration_stale ran=no reason="lost" at=door`) +
			"ts=2026-03-13T01:29:39.000Z vm=core-2 event=leading term=4\n", "had no leader until core-2 led at 01:29:39.000"},
		{"crashes are attributed to it", line(`event=crash request=abd.1 fingerprint=f unit=m-1@7`) + line(`event=crash request=abe.1 fingerprint=f unit=m-2@8`) +
			line(`event=crash request=other.1 fingerprint=g unit=m-3@9`) +
			line(`event=refuse request=abc.1 type=request_crashes_backend ran=no reason="x" retry_after_ms=60000 fingerprint=f`),
			"what it asks: m-1@7 at 01:29:38.100 under abd.1, m-2@8 at 01:29:38.100 under abe.1. The caller was asked to retry after 60000 ms."},
		{"crashes are attributed to a part of its prompt", line(`event=crash request=abd.1 fingerprint=f unit=m-1@7 parts=first,bad`) +
			line(`event=crash request=abe.1 fingerprint=g unit=m-2@8 parts=first`) +
			line(`event=refuse request=abc.1 type=request_crashes_backend ran=no reason="x" retry_after_ms=60000 fingerprint=p cause="prompt_part bad" part=bad`),
			"requests whose prompts have the part bad: m-1@7 at 01:29:38.100 under abd.1. The caller was asked to retry after 60000 ms."},
		{"a crash that was not counted", line(`event=attempt_cut request=abc.1 fingerprint=f unit=m-1@7`) +
			line(`event=crash_check unit=m-1@7 verdict=unknown own_probe=not_listening refused_by=front-2,front-3 absent=front-4:silent`) + ended +
			line(`event=refuse request=abc.1 type=backend_failed ran=unknown reason="x"`),
			"the verdict on m-1@7 was unknown, as the entry found its address not_listening, front-2,front-3 were refused, and front-4:silent said nothing"},
		{"its answer was cut", ended + line(`event=answer_cut request=abc.1 cause=retry_budget type=backend_failed ran=unknown took_ms=700 left_ms=5300 up_ms=1200 lease_ms=0 arrival_config=20 config=21`),
			"cut after 700 ms (retry_budget, 5300 ms before its deadline) by front-1, which had been up for 1200 ms and held no configuration lease; the configuration had gone from revision 20 to 21 meanwhile; its last attempt ended as broken on 10.0.0.1:80"},
		{"its caller left", line(`event=answer_cut request=abc.1 cause=caller_left took_ms=700 left_ms=5300 up_ms=9000 lease_ms=900 arrival_config=20 config=20`),
			"which had been up for 9000 ms."},
		{"still under way", ended, "still under way"},
		{"nothing wrong", line("event=route request=abc.1 choice=m-1"), "These logs show no failure"},
	} {
		t.Run(c.name, func(t *testing.T) {
			story, err := logs(t, c.log).Explain("abc", time.Second)
			assert.NilError(t, err)
			assert.Assert(t, is.Contains(story.Cause, c.want))
		})
	}
	_, err := logs(t, entryLog).Explain("ab", 0)
	assert.ErrorIs(t, err, ErrNoLines)
}

// A VM's clock is set back during a request. The lines of that VM must keep their order;
// otherwise the answer would precede the attempts.
func TestLineOrderSurvivesClockSetBack(t *testing.T) {
	story, err := logs(t, `ts=2026-03-13T01:29:38.100Z vm=v event=route request=a attempt=1
ts=2026-03-13T01:29:33.200Z vm=v event=attempt_ended request=a outcome=broken
ts=2026-03-13T01:29:33.300Z vm=v event=refuse request=a type=backend_failed
`).Explain("a", 0)
	assert.NilError(t, err)
	assert.Equal(t, story.Lines[2].Event, "refuse")
}
