package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/record"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// recordControl is a committer that applies commands to one table of records.
type recordControl struct {
	mu    sync.Mutex
	table *record.Table
	// leaderless lists the times during which no process leads.
	leaderless []interval
	// isSilent makes tries in these times run into their timeout instead of being refused.
	isSilent bool
	// applied counts the commands that took effect.
	applied int
	// lostReplies is how many commands are applied without a reply.
	lostReplies int
}

type interval struct{ from, to time.Time }

func newRecordControl() *recordControl { return &recordControl{table: record.NewTable()} }

func (c *recordControl) Commit(ctx context.Context, r *noderpc.CommitRequest) ([]byte, error) {
	for _, gap := range c.leaderless {
		now := time.Now()
		if now.Before(gap.from) || !now.Before(gap.to) {
			continue
		}
		if c.isSilent {
			<-ctx.Done()
		}
		return nil, failure.New(failure.TypeNotLeader, "this control process does not lead").WithRan(failure.RanNo)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied++
	result := c.table.Apply(r.Command)
	if c.lostReplies > 0 {
		c.lostReplies--
		return nil, failure.New(failure.TypeOutcomeUnknown, "the leader was lost").WithRan(failure.RanUnknown)
	}
	return result, nil
}

// stateOf returns what a claim of the key by another entry finds.
func (c *recordControl) stateOf(t *testing.T, j *job) record.Outcome {
	t.Helper()
	other := deafServer(servingPool(1, 1, 1, 1))
	saved := c.leaderless
	c.leaderless = nil
	other.o.Control = c
	out, err := other.commitRecord(context.Background(), record.Command{Claim: &record.Claim{
		Key: j.key, BodyHash: j.fingerprint, Entry: "other", Attempt: "other",
		DeadlineMillis: time.Now().Add(time.Minute).UnixMilli(), NowMillis: time.Now().UnixMilli(),
	}})
	c.leaderless = saved
	assert.NilError(t, err)
	return out
}

// claimedJob returns a job that holds its claim and has two tokens of its answer.
func claimedJob(t *testing.T, s *Server) *job {
	t.Helper()
	now := time.Now()
	j := &job{
		id: "j", workspace: "w", key: "w/key", fingerprint: "body", nonIdempotent: true, arrived: now,
		deadline: now.Add(time.Minute), answer: newAnswer(), ctx: context.Background(),
	}
	assert.Assert(t, s.claim(j) == nil)
	j.answer.append("one")
	j.answer.append("two")
	j.finish = "stop"
	return j
}

// endOf returns how long after the call the answer ends.
func endOf(j *job) <-chan time.Duration {
	ended, began := make(chan time.Duration, 1), time.Now()
	go func() {
		_, _, _ = j.answer.awaitComplete(context.Background())
		ended <- time.Since(began)
	}()
	return ended
}

// Guards against a request that is refused while an election is about to end.
func TestClaimWaitsForAnElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control := deafServer(servingPool(1, 1, 1, 1)), newRecordControl()
		s.o.Control = control
		now := time.Now()
		control.leaderless = []interval{{now, now.Add(2 * time.Second)}}
		assert.Assert(t, claimedJob(t, s).claimed)
	})
}

// Guards against a caller that waits for a claim past the time in which it could be refused.
func TestClaimIsGivenUpBeforeTheDeadline(t *testing.T) {
	for _, isSilent := range []bool{false, true} {
		for _, timeout := range []time.Duration{time.Second, 2 * time.Second, time.Minute} {
			synctest.Test(t, func(t *testing.T) {
				s, control := deafServer(servingPool(1, 1, 1, 1)), newRecordControl()
				s.o.Control = control
				now := time.Now()
				control.leaderless, control.isSilent = []interval{{now, now.Add(time.Hour)}}, isSilent
				j := &job{id: "j", key: "w/key", nonIdempotent: true, deadline: now.Add(timeout), ctx: context.Background()}
				e := s.claim(j)
				assert.Equal(t, e.Type, failure.TypeUnavailable)
				assert.Equal(t, e.Ran, failure.RanUnknown)
				assert.Assert(t, time.Since(now) <= min(maxClaimWait, timeout*4/5))
				time.Sleep(2 * time.Minute) // the withdrawal ends
			})
		}
	}
}

// Guards against an answer that its caller has and no record holds, as no process led when it
// was ready.
func TestAnswerIsRecordedHoweverLongNoProcessLeads(t *testing.T) {
	second := time.Second
	for name, c := range map[string]struct {
		gaps     [][2]time.Duration
		isSilent bool
	}{
		"a tenth of a second": {gaps: [][2]time.Duration{{0, second / 10}}},
		"two seconds":         {gaps: [][2]time.Duration{{0, 2 * second}}},
		"two leaders lost":    {gaps: [][2]time.Duration{{0, second}, {second + second/20, 3 * second}}},
		"five seconds":        {gaps: [][2]time.Duration{{0, 5 * second}}},
		"half a minute":       {gaps: [][2]time.Duration{{0, 30 * second}}},
		"silent two seconds":  {gaps: [][2]time.Duration{{0, 2 * second}}, isSilent: true},
		"silent for long":     {gaps: [][2]time.Duration{{0, 30 * second}}, isSilent: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, control := deafServer(servingPool(1, 1, 1, 1)), newRecordControl()
				s.o.Control = control
				j := claimedJob(t, s)
				now := time.Now()
				for _, gap := range c.gaps {
					control.leaderless = append(control.leaderless, interval{now.Add(gap[0]), now.Add(gap[1])})
				}
				control.isSilent = c.isSilent
				ended := endOf(j)
				s.finish(j, nil, true)
				recorded := time.Since(now)
				assert.Equal(t, <-ended, min(recorded, maxRecordHold))
				assert.Equal(t, control.stateOf(t, j).State, record.Done)
			})
		})
	}
}

// Guards against an answer that waits for its record until its caller has given up.
func TestAnswerIsDeliveredBeforeTheDeadlineWithoutItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control := deafServer(servingPool(1, 1, 1, 1)), newRecordControl()
		s.o.Control = control
		j := claimedJob(t, s)
		now := time.Now()
		j.deadline = now.Add(time.Second)
		control.leaderless = []interval{{now, now.Add(time.Hour)}}
		ended := endOf(j)
		s.finish(j, nil, true)
		assert.Assert(t, <-ended < time.Second)
		assert.Assert(t, time.Since(now) <= time.Second+claimGrace, "the writing ends with the claim")
	})
}

// Guards against a withdrawn claim that stays, as no process led: the caller was told that its
// request did not run, and its resend that it does.
func TestClaimIsWithdrawnOnceAProcessLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control := deafServer(servingPool(1, 1, 1, 1)), newRecordControl()
		s.o.Control = control
		j := claimedJob(t, s)
		now := time.Now()
		control.leaderless = []interval{{now, now.Add(3 * time.Second)}}
		s.finish(j, failure.New(failure.TypeOverloaded, "no capacity").WithRan(failure.RanNo), false)
		assert.Assert(t, control.stateOf(t, j).Granted)
	})
}

// Guards against a record that a lost reply spoils: the same write is sent again.
func TestAnswerWhoseWriteLostItsReplyIsRecordedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control := deafServer(servingPool(1, 1, 1, 1)), newRecordControl()
		s.o.Control = control
		j := claimedJob(t, s)
		control.lostReplies = 2
		s.finish(j, nil, true)
		out := control.stateOf(t, j)
		assert.Equal(t, out.State, record.Done)
		assert.Equal(t, string(out.Answer.Body), `{"tokens":["one","two"],"finish":"stop"}`)
	})
}

// Guards against a run that never ends, as its whole answer has no token to record.
func TestAnswerWithoutTokensIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control := deafServer(servingPool(1, 1, 1, 1)), newRecordControl()
		s.o.Control = control
		j := claimedJob(t, s)
		j.answer = newAnswer()
		s.finish(j, nil, true)
		assert.Equal(t, control.stateOf(t, j).State, record.Done)
	})
}

// Guards against an answer over the log's limit: no try to record it can succeed, and a resend
// is told that nobody knows whether the request ran.
func TestAnswerTooLongForTheLogIsRecordedAsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control := deafServer(servingPool(1, 1, 1, 1)), newRecordControl()
		s.o.Control = control
		j := claimedJob(t, s)
		j.service = &serviceCall{status: 200, body: make([]byte, maxServiceAnswer)}
		assert.Assert(t, len(s.recordedAnswer(j).Body) < 512<<10)
		s.finish(j, nil, true)
		out := control.stateOf(t, j)
		assert.Equal(t, out.State, record.Done)
		assert.Assert(t, out.Answer == nil)
	})
}

// Guards against withdrawals without limit while no process leads and callers keep sending.
func TestUnsureWithdrawalsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control := deafServer(servingPool(1, 1, 1, 1)), newRecordControl()
		s.o.Control = control
		now := time.Now()
		control.leaderless = []interval{{now, now.Add(time.Second)}}
		for range 2 * maxUnsureAbandons {
			s.abandonUnsureClaim(&job{id: "j", key: "w/key", deadline: now.Add(time.Minute)})
		}
		assert.Equal(t, s.withdrawals.count(), maxUnsureAbandons)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Equal(t, s.withdrawals.count(), 0)
	})
}

// Guards against a crash that no entry but one knows of: its report was refused during an election
// and not sent again.
func TestCrashIsReportedAfterAnElection(t *testing.T) {
	for _, election := range []time.Duration{time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s, control := deafServer(servingPool(1, 1, 1, 1)), newRecordControl()
			now := time.Now()
			control.leaderless = []interval{{now, now.Add(election)}}
			s.o.Control = control
			check := &crashCheck{route: route{group: "wide-0"}, verdict: verdictCrashed}
			<-s.reportCuts(check, []cutAttempt{{request: "j", fingerprint: "body", sent: now, cut: now}})
			assert.Equal(t, control.applied, 1)
		})
	}
}
