package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// A request that crashes each backend server that runs it, resent by its caller without end,
// would take down one group after another. Each request in flight when a backend server crashes
// becomes a suspect, of whatever kind it is. The blackboard holds its crashes by the request's
// fingerprint, so that they apply across entries and resends, and attributes them (Suspect). Complete
// answers clear a suspect.
//
// The next attempt of a suspect runs in isolation, on a target that all entries keep free: a
// second crash there is attributed to the request and harms no other one. Requests with an
// objective are not isolated, since the answer would be late. Crashes are attributed to them by
// their number.

// observeCut takes in an attempt that ended because its target closed the connection early. It
// returns the check that tells whether the target crashed.
func (s *Server) observeCut(j *job, r route, isAlone bool, sent time.Time) *crashCheck {
	now := time.Now()
	a := newCutAttempt(j, now, isAlone, sent)
	check, isNew, isOver := s.crashChecks.join(now, r, a)
	s.o.Metrics.AttemptCut()
	j.lines.Info("event", "attempt_cut", "request", j.id, "fingerprint", a.fingerprint, "server", r.head, "unit", r.crashID())
	switch {
	case isNew:
		go s.runCrashCheck(check)
	case isOver:
		s.reportCuts(check, []cutAttempt{a})
	}
	return check
}

func newCutAttempt(j *job, now time.Time, isAlone bool, sent time.Time) cutAttempt {
	return cutAttempt{
		request: j.id, fingerprint: j.contentFingerprint(), workspace: j.workspace, parts: j.sharedParts,
		sent: sent, cut: now, isAlone: isAlone,
	}
}

// observeEnded takes in an attempt that this entry has ended itself. A crash shortly afterwards counts for it, as its
// backend server may still have been running it. After an invalid answer the target is checked for one.
//
// Failure: a request crashes each backend server that runs it, after the server has begun an answer without a valid
// proof. The entry ends the attempt at the first bytes, no connection is seen to be cut, and no crash is counted.
func (s *Server) observeEnded(j *job, r route, isAlone bool, sent time.Time, isInvalid bool) {
	s.crashChecks.remember(r, newCutAttempt(j, time.Now(), isAlone, sent))
	if isInvalid {
		time.AfterFunc(endedCheckDelay, func() { s.checkEnded(r) })
	}
}

// checkEnded checks whether a target has crashed, unless a check has established that by now.
func (s *Server) checkEnded(r route) {
	if check, isNew := s.crashChecks.begin(time.Now(), r); isNew {
		s.runCrashCheck(check)
	}
}

// runCrashCheck finds the verdict of a check and closes a target that has crashed.
func (s *Server) runCrashCheck(check *crashCheck) {
	v := s.findCrashVerdict(check)
	cuts := s.crashChecks.conclude(time.Now(), check, v)
	s.o.Metrics.CrashCheck(string(v))
	_ = level.Info(s.o.Logger).Log("event", "crash_check", "unit", check.route.crashID(), "server", check.route.head,
		"verdict", v, "took_ms", time.Since(check.cutAt).Milliseconds(), "requests", len(cuts), "own_probe", check.probe.Own,
		"refused_by", strings.Join(check.probe.Peers.Refused, ","), "absent", strings.Join(check.probe.Peers.Absent, ","))
	check.reported = s.reportCuts(check, cuts)
	if v == verdictCrashed {
		s.wakeRouteLoop()
	}
	close(check.done)
}

// reportCuts reports the requests that a crash ended to the board. The returned channel is closed
// once the report is written; it is nil if there is nothing to report.
func (s *Server) reportCuts(check *crashCheck, cuts []cutAttempt) <-chan struct{} {
	if check.verdict != verdictCrashed {
		return nil
	}
	var shared, alone []cutAttempt
	for _, a := range s.cutsByRequest(check, cuts) {
		if a.isAlone {
			alone = append(alone, a)
			continue
		}
		shared = append(shared, a)
	}
	written := s.writeCrash(check, shared, false)
	if len(alone) > 0 {
		written = s.writeCrash(check, alone, true)
	}
	return written
}

// cutsByRequest returns one attempt of each request that a crash ended.
func (s *Server) cutsByRequest(check *crashCheck, cuts []cutAttempt) []cutAttempt {
	seen := make(map[string]bool, len(cuts))
	var first []cutAttempt
	for _, a := range cuts {
		if seen[a.fingerprint] {
			continue
		}
		seen[a.fingerprint] = true
		first = append(first, a)
		_ = level.Warn(s.o.Logger).Log("event", "crash", "request", a.request, "fingerprint", a.fingerprint,
			"unit", check.route.crashID(), "alone", a.isAlone, "ran_ms", a.cut.Sub(a.sent).Milliseconds(),
			"parts", partNames(a.parts))
	}
	return first
}

// writeCrash writes the crash of a target that ended the attempts.
func (s *Server) writeCrash(check *crashCheck, cuts []cutAttempt, alone bool) <-chan struct{} {
	if len(cuts) == 0 {
		return nil
	}
	now := time.Now()
	report := crashReport(check.route, cuts, alone, now)
	report.Answered = s.answeredLately(cuts, now)
	report.BusyTargets = s.dispatcher.busyTargetCount(check.route.pool)
	report.Parts, report.HasSilentEntries = s.runningParts(cuts, now), !s.isolates() && check.areSeveralPeersSilent()
	return s.writeSuspect(report.After(0, now))
}

// answeredLately returns the fingerprints of the requests that this entry has answered lately.
func (s *Server) answeredLately(cuts []cutAttempt, now time.Time) []string {
	var answered []string
	for _, a := range cuts {
		if isAnswered, _ := s.answerGrace.wasAnswered(now, a.fingerprint); isAnswered {
			answered = append(answered, a.fingerprint)
		}
	}
	return answered
}

// crashReport returns the report of a crash as of now. Its times are lengths of time first of all: the
// clock may have been stepped meanwhile, and the leader's differs.
func crashReport(r route, cuts []cutAttempt, alone bool, now time.Time) *blackboard.ReportCrash {
	c := &blackboard.ReportCrash{
		Incarnation: r.crashID(), Pool: r.pool, DataCentre: r.dataCentre, Alone: alone,
		EndAgoMillis: now.Sub(cuts[0].cut).Milliseconds(),
	}
	for _, a := range cuts {
		c.Fingerprints = append(c.Fingerprints, a.fingerprint)
		c.SentAgoMillis = append(c.SentAgoMillis, c.EndAgoMillis+a.cut.Sub(a.sent).Milliseconds())
	}
	return c.After(0, now)
}

// awaitCrashCounts waits for the verdict about a cut attempt, and until the board has the report
// of a crash. It returns the request's crashes; none if the target did not crash.
func (s *Server) awaitCrashCounts(j *job, check *crashCheck) blackboard.Suspect {
	select {
	case <-check.done:
	case <-j.ctx.Done():
		return blackboard.Suspect{}
	}
	if check.verdict != verdictCrashed {
		return blackboard.Suspect{}
	}
	if check.reported != nil {
		awaitDone(j.ctx, check.reported, boardTimeout)
	}
	j.suspect = true
	return s.suspectOf(j)
}

// awaitDone returns once done is closed, after the limit or at the end of ctx.
func awaitDone(ctx context.Context, done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// isolates reports whether this entry can run suspects in isolation. One that hears no announcements can't tell
// when a target is empty.
func (s *Server) isolates() bool { return !s.o.Settings.Deaf }

// mayIsolate reports whether the job waits for a turn in isolation once it is a suspect.
func (s *Server) mayIsolate(j *job) bool {
	hasObjective := j.forward != nil && j.forward.route.ObjectiveMillis > 0
	return !hasObjective && s.isolates()
}

// suspectOf returns what this entry knows about the job's crashes. Without suspects the job needs no
// fingerprint.
func (s *Server) suspectOf(j *job) blackboard.Suspect {
	suspects := s.suspects()
	if len(suspects) == 0 {
		return blackboard.Suspect{}
	}
	return suspects[j.contentFingerprint()]
}

// causes returns the fingerprints of all that crashes under the job may be attributed to: the request first, then
// the parts of its prompt.
func (j *job) causes() []string {
	causes := []string{j.contentFingerprint()}
	for _, part := range j.sharedParts {
		causes = append(causes, part.fingerprint)
	}
	return causes
}

// refusedCauses returns the causes of crashes for which the job is refused.
func (s *Server) refusedCauses(now time.Time, j *job) []blackboard.Suspect {
	suspects := s.suspects()
	if len(suspects) == 0 {
		return nil
	}
	var refused []blackboard.Suspect
	for _, f := range j.causes() {
		if suspect, ok := suspects[f]; ok && s.isRefused(now, j, suspect) {
			refused = append(refused, suspect)
		}
	}
	return refused
}

// isRefused reports whether a job is refused for one of its causes.
func (s *Server) isRefused(now time.Time, j *job, suspect blackboard.Suspect) bool {
	grace, isGivenByAll := s.answerGrace, false
	if suspect.Kind == blackboard.CausePart {
		grace, isGivenByAll = s.partGrace, suspect.AnsweredBefore
	}
	if !suspect.IsAttributed() {
		grace.cleared(suspect.Fingerprint)
		return false
	}
	// A run in isolation takes no server from others.
	if suspect.Unsettled && s.mayIsolate(j) && grace.isSettling(now, suspect.Fingerprint) {
		return false
	}
	return j.retryGranted != suspect.Fingerprint && suspect.AppliesTo(j.workspace) && !grace.allows(now, suspect.Fingerprint, isGivenByAll)
}

// checkCrashes refuses a job that crashes are attributed to, with the time from which it may run
// once more. A job with several causes is not run again, as its answer would tell of none of them.
func (s *Server) checkCrashes(j *job) *failure.Error {
	now := time.Now()
	refused := s.refusedCauses(now, j)
	if len(refused) == 0 {
		return nil
	}
	retryAt := int64(0)
	for _, suspect := range refused {
		retryAt = max(retryAt, suspect.RetryAtMillis())
	}
	wait := time.Duration(retryAt-now.UnixMilli()) * time.Millisecond
	if wait <= 0 && len(refused) == 1 && s.mayAskForRetry(now, refused[0].Fingerprint) && s.takeRetryOfAttributed(j, refused[0].Fingerprint) {
		return nil
	}
	j.refusedFor = refused[0]
	return crashRefusal(refused[0]).WithRetryAfter(max(wait, time.Second))
}

// retryAskInterval is the least time between two requests of an entry for a further run of one cause. Hundreds of
// callers may come with it at the same moment, and one of them gets the run.
const retryAskInterval = 200 * time.Millisecond

// mayAskForRetry reports whether this entry may ask for a further run of a cause, and records that it does.
func (s *Server) mayAskForRetry(now time.Time, fingerprint string) bool {
	s.retryAsksMu.Lock()
	defer s.retryAsksMu.Unlock()
	for f, at := range s.retryAsks {
		if now.Sub(at) >= retryAskInterval {
			delete(s.retryAsks, f)
		}
	}
	if _, ok := s.retryAsks[fingerprint]; ok {
		return false
	}
	s.retryAsks[fingerprint] = now
	return true
}

// takeRetryOfAttributed requests the one further run that a cause may have at times.
func (s *Server) takeRetryOfAttributed(j *job, fingerprint string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), boardTimeout)
	defer cancel()
	var verdict blackboard.Verdict
	err := s.commitBoard(ctx, &blackboard.RetryAttributed{Fingerprint: fingerprint, NowMillis: time.Now().UnixMilli()}, &verdict)
	isGranted := err == nil && verdict.Applied
	if isGranted {
		j.retryGranted = fingerprint
	}
	j.lines.Info("event", "suspect_retry", "request", j.id, "fingerprint", fingerprint, "granted", isGranted,
		"reason", verdict.Reason, "err", errText(err))
	return isGranted
}

// noteAnswered takes in an answer. It counts for a suspect request that was known as one when the answered run
// was sent: an answer to an earlier run does not show that the request has not come to crash its backend servers
// since.
func (s *Server) noteAnswered(j *job) {
	s.noteAnsweredParts(j)
	s.answerGrace.answered(time.Now(), j.contentFingerprint())
	if !j.wasSuspect || !s.suspectOf(j).NeedsAnswers() {
		return
	}
	s.writeSuspect(blackboard.Answered(j.contentFingerprint(), j.isAlone, j.retryGranted == j.contentFingerprint()))
}

// countSuspects counts the suspects of a kind, and those of them that crashes are attributed to.
func countSuspects(suspects map[string]blackboard.Suspect, kind blackboard.CauseKind) (all, attributed int) {
	for _, suspect := range suspects {
		if suspect.Kind != kind {
			continue
		}
		all++
		if suspect.IsAttributed() {
			attributed++
		}
	}
	return all, attributed
}

// crashRefusal returns the final failure of a request that crashes are attributed to, or a part of whose prompt.
func crashRefusal(cause blackboard.Suspect) *failure.Error {
	e := failure.New(failure.TypeRequestCrashesBackend,
		"this request crashed the backend servers that ran it and is not run again for now")
	if cause.Kind == blackboard.CausePart {
		e = failure.New(failure.TypeRequestCrashesBackend,
			"a part of this request's prompt crashed the backend servers that ran it and is not run again for now")
	}
	return e.WithDetail(causeName(cause)).WithRan(failure.RanUnknown)
}

// causeName returns the kind of a cause, and the name that callers give it if there is one.
func causeName(cause blackboard.Suspect) string {
	if cause.Kind == blackboard.CausePart {
		return string(cause.Kind) + " " + cause.Name
	}
	return "request"
}

const boardTimeout = 2 * time.Second

// commitBoard writes a board command through the leader. If verdict is not nil, it receives the
// command's result. While no process leads, which proves that nothing was written, it tries again
// until the context ends.
//
// Failure: a data centre loses power, with the leader and with backend servers. The reports of
// their crashes are refused during the election and not sent again, and a request that crashed one
// server crashes the next through another entry.
func (s *Server) commitBoard(ctx context.Context, c blackboard.Command, verdict *blackboard.Verdict) error {
	return s.commitBoardLatest(ctx, func() (blackboard.Command, error) { return c, nil }, verdict)
}

// commitBoardLatest does the same with a command that is made anew for each try.
func (s *Server) commitBoardLatest(ctx context.Context, make func() (blackboard.Command, error), verdict *blackboard.Verdict) error {
	for tries := 1; ; tries++ {
		c, err := make()
		if err != nil {
			return errors.Trace(err)
		}
		encoded, err := blackboard.Encode(c)
		if err != nil {
			return errors.Trace(err)
		}
		result, err := s.o.Control.Commit(ctx, &noderpc.CommitRequest{
			ClusterId: s.o.Follower.Board().ClusterID, Machine: noderpc.Machine_MACHINE_BOARD, Command: encoded,
		})
		switch {
		case err != nil && failure.From(err).Type == failure.TypeNotLeader && sleep(ctx, recordRetryDelay(tries, rand.Float64())):
			continue
		case err != nil || verdict == nil:
			return errors.Trace(err)
		}
		return errors.Trace(json.Unmarshal(result, verdict))
	}
}

func formatEpoch(epoch uint64) string { return strconv.FormatUint(epoch, 10) }

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
