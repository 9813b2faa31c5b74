package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/citronstep/citronstep/internal/metrics"
	"github.com/citronstep/citronstep/internal/record"
)

// Times of writing an outcome.
const (
	// recordTimeout bounds one try.
	recordTimeout = 2 * time.Second
	// minRecordRetryDelay and maxRecordRetryDelay bound the wait before the next try.
	minRecordRetryDelay = 50 * time.Millisecond
	maxRecordRetryDelay = time.Second
	// maxRecordHold is the longest time for which the end of an answer waits for its record. It
	// covers two elections in a row.
	maxRecordHold = 5 * time.Second
)

// recordHold returns how long the end of a complete answer may wait for its record. A caller
// whose deadline is near gets the answer in time, recorded or not.
func recordHold(now, deadline time.Time) time.Duration {
	left := deadline.Sub(now)
	return max(0, min(maxRecordHold, left-left/answerTimeDivisor))
}

// recordRetryDelay returns the wait after the given number of failed tries. fraction is random,
// from 0 to 1.
//
// Load: the leader dies, and all entries hold outcomes to write. Without a leader a try fails
// within a millisecond. Growing and spread waits keep the control processes free for the
// election.
func recordRetryDelay(tries int, fraction float64) time.Duration {
	longest := min(minRecordRetryDelay<<min(tries, 10), maxRecordRetryDelay)
	return longest/2 + time.Duration(fraction*float64(longest/2))
}

// recordKind names what is written about a claim.
type recordKind string

const (
	recordAnswer  recordKind = "answer"
	recordUnknown recordKind = "unknown"
	recordAbandon recordKind = "abandon"
)

// writeRecord writes a command about the job's claim until a majority has it or the claim counts
// as unknown. Each command takes effect once, however often it is sent.
//
// Failure: the leader dies while a claimed request runs. Until another leads, each try is refused
// at once. A fixed number of tries ended before the election, and the answer was in no record.
func (s *Server) writeRecord(j *job, kind recordKind, command func(now time.Time) record.Command) {
	began := time.Now()
	giveUp := j.deadline.Add(claimGrace)
	for tries := 1; ; tries++ {
		out, err := s.tryRecord(command(time.Now()))
		if err == nil {
			s.o.Metrics.RecordWrite(string(kind), metrics.RecordWritten, time.Since(began))
			j.lines.Info("event", "record", "request", j.id, "kind", kind, "granted", out.Granted, "state", out.State,
				"tries", tries, "took_ms", time.Since(began).Milliseconds())
			return
		}
		s.o.Metrics.RecordWrite(string(kind), metrics.RecordTryFailed, 0)
		delay := recordRetryDelay(tries, rand.Float64())
		if time.Now().Add(delay).After(giveUp) {
			s.o.Metrics.RecordWrite(string(kind), metrics.RecordGivenUp, 0)
			j.lines.Info("event", "record_given_up", "request", j.id, "kind", kind, "tries", tries,
				"took_ms", time.Since(began).Milliseconds(), "err", err)
			return
		}
		if tries == 1 {
			j.lines.Info("event", "record_delayed", "request", j.id, "kind", kind, "err", err)
		}
		time.Sleep(delay)
	}
}

func (s *Server) tryRecord(c record.Command) (record.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	return s.commitRecord(ctx, c)
}

// recordOutcome records the outcome of a claimed request: its answer if e is nil, that the
// outcome is unknown if the request may have run, or that the claim is withdrawn.
func (s *Server) recordOutcome(j *job, answered, mayHaveRun bool) {
	switch {
	case answered:
		kept := s.recordedAnswer(j)
		s.writeRecord(j, recordAnswer, func(now time.Time) record.Command { return finishCommand(j, kept, now) })
	case mayHaveRun:
		s.writeRecord(j, recordUnknown, func(now time.Time) record.Command { return finishCommand(j, nil, now) })
	default:
		s.abandonClaim(j)
	}
}

func finishCommand(j *job, a *record.Answer, now time.Time) record.Command {
	return record.Command{Finish: &record.Finish{Key: j.key, Attempt: j.id, Answer: a, NowMillis: now.UnixMilli()}}
}

// abandonClaim withdraws a claim under which certainly nothing was sent.
func (s *Server) abandonClaim(j *job) {
	s.writeRecord(j, recordAbandon, func(time.Time) record.Command {
		return record.Command{Abandon: &record.Abandon{Key: j.key, Attempt: j.id}}
	})
}

// abandonUnsureClaim withdraws a claim that may not have been written, after its caller has been
// refused. If too many are being withdrawn, the record, if there is one, becomes Unknown at its
// deadline, which is less precise but never false.
func (s *Server) abandonUnsureClaim(j *job) {
	if !s.withdrawals.begin(j.key) {
		s.o.Metrics.RecordWrite(string(recordAbandon), metrics.RecordGivenUp, 0)
		j.lines.Info("event", "record_given_up", "request", j.id, "kind", recordAbandon, "tries", 0, "err", "too many claims are being withdrawn")
		return
	}
	go func() {
		defer s.withdrawals.end(j.key)
		s.abandonClaim(j)
	}()
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
