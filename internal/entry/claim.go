package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/httphead"
	"github.com/citronstep/citronstep/internal/record"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// claimGrace is how long past its deadline a claim waits for its outcome before the outcome
// counts as unknown. It is longer than an entry takes to record an outcome.
const claimGrace = 10 * time.Second

// claim asks a majority of the control replicas for the right to run a non-idempotent request
// that has a key.
//
// It prevents the same request from running on two entries, or again after the entry that ran
// it has died. The claim is synced to disk on a majority before the first byte goes to a
// backend server, and only one claim of a key is granted.
func (s *Server) claim(j *job) *failure.Error {
	if !j.nonIdempotent || j.key == "" {
		return nil
	}
	now := time.Now()
	out, err := s.requestClaim(j)
	s.o.Metrics.Claim(time.Since(now))
	if err != nil {
		// Nothing was dispatched under this claim, whether or not it was written. An earlier
		// send of the same key may have been dispatched.
		s.abandonUnsureClaim(j)
		return failure.New(failure.TypeUnavailable, "the request could not be claimed: "+err.Error()).
			WithRan(failure.RanUnknown).WithRetryAfter(time.Second)
	}
	j.lines.Info("event", "claim", "request", j.id, "granted", out.Granted, "state", out.State, "holder", out.Entry)
	return s.applyClaim(j, s.checkHolder(j, out))
}

// requestClaim asks until the claim is answered or maxClaimWait has passed. A claim by the same
// attempt is granted again, so an answer lost on a silent connection costs one timeout and not
// the request.
//
// Failure: the leader dies. All tries within the few milliseconds after that are refused, and the
// caller is refused although an election is about to end.
func (s *Server) requestClaim(j *job) (record.Outcome, error) {
	giveUp := earlier(time.Now().Add(maxClaimWait), j.placeBy(time.Now()))
	for tries := 1; ; tries++ {
		ctx, cancel := context.WithDeadline(j.ctx, earlier(time.Now().Add(claimTimeout), giveUp))
		out, err := s.commitRecord(ctx, s.claimCommand(j, time.Now()))
		cancel()
		delay := recordRetryDelay(tries, rand.Float64())
		if err == nil || j.ctx.Err() != nil || time.Now().Add(delay).After(giveUp) {
			return out, err
		}
		if tries == 1 {
			j.lines.Info("event", "claim_delayed", "request", j.id, "err", err)
		}
		if !sleep(j.ctx, delay) {
			return out, err
		}
	}
}

func (s *Server) claimCommand(j *job, now time.Time) record.Command {
	return record.Command{Claim: &record.Claim{
		Key: j.key, BodyHash: j.fingerprint, Entry: s.o.ID, Attempt: j.id,
		DeadlineMillis: j.deadline.Add(claimGrace).UnixMilli(), NowMillis: now.UnixMilli(),
	}}
}

// Limits of a request for a claim. An election takes about a second, and longer if a vote is
// split.
const (
	maxClaimWait = 4500 * time.Millisecond
	claimTimeout = 1500 * time.Millisecond
)

func (s *Server) applyClaim(j *job, out record.Outcome) *failure.Error {
	switch {
	case out.Granted:
		j.claimed = true
		return nil
	case out.TableFull:
		return failure.New(failure.TypeOverloaded, "no capacity for another at-most-once record").
			WithRan(failure.RanNo).WithRetryAfter(staleRetryAfter)
	case out.KeyReused:
		return failure.New(failure.TypeIdempotencyKeyReused, "the idempotency key belongs to another request").WithRan(failure.RanNo)
	case out.State == record.Claimed:
		return failure.New(failure.TypeInProgress, "another entry holds the request").
			WithRan(failure.RanUnknown).WithRetryAfter(time.Second)
	case out.State == record.Unknown:
		return failure.New(failure.TypeOutcomeUnknown, "the request was dispatched and its outcome is unknown").
			WithRan(failure.RanUnknown)
	case out.Answer == nil:
		return failure.New(failure.TypeOutcomeUnknown, "the request ran; its answer is no longer kept").
			WithRan(failure.RanYes)
	}
	return s.replay(j, *out.Answer)
}

// replay answers the job with the recorded answer.
func (s *Server) replay(j *job, a record.Answer) *failure.Error {
	j.replayed = true
	if j.service != nil {
		if err := httphead.CheckFinal(a.Status, a.Header); err != nil {
			return failure.New(failure.TypeInternal, "recorded answer: "+err.Error()).WithRan(failure.RanYes)
		}
		j.service.replay(a)
		return nil
	}
	var kept recordedCompletion
	if err := json.Unmarshal(a.Body, &kept); err != nil {
		return failure.New(failure.TypeInternal, "recorded answer: "+err.Error()).WithRan(failure.RanYes)
	}
	for _, t := range kept.Tokens {
		j.answer.append(t)
	}
	j.finish = kept.Finish
	return nil
}

// recordedCompletion is a completion's answer as the at-most-once record holds it.
type recordedCompletion struct {
	Tokens []string `json:"tokens"`
	Finish string   `json:"finish"`
}

func (s *Server) commitRecord(ctx context.Context, c record.Command) (record.Outcome, error) {
	var out record.Outcome
	encoded, err := record.EncodeCommand(c)
	if err != nil {
		return out, errors.Trace(err)
	}
	result, err := s.o.Control.Commit(ctx, &noderpc.CommitRequest{
		ClusterId: s.o.Follower.Board().ClusterID,
		Machine:   noderpc.Machine_MACHINE_RECORDS,
		Command:   encoded,
	})
	if err != nil {
		return out, errors.Trace(err)
	}
	return out, errors.Trace(json.Unmarshal(result, &out))
}
