package blackboard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// partCrash is a crash that ended requests with parts, each a text of part names.
type partCrash struct {
	incarnation string
	sent, end   int64
	workspace   string
	// known tells the parts that entries have answered lately; all others they have not.
	known []string
}

// reportParts reports a crash that ended one request for each prompt, no two of which are alike. Single letters
// name the parts of a prompt.
func (c *crashBoard) reportParts(crash partCrash, prompts ...string) {
	c.t.Helper()
	c.reportPartsIn("z", crash, prompts...)
}

// reportPartsIn reports a crash in a data centre.
func (c *crashBoard) reportPartsIn(dataCentre string, crash partCrash, prompts ...string) {
	c.t.Helper()
	r := &ReportCrash{Incarnation: crash.incarnation, Pool: "pool", DataCentre: dataCentre, NowMillis: crash.end}
	known := make(map[string]bool)
	for _, name := range crash.known {
		known[name] = true
	}
	running := make(map[string]bool)
	for i, prompt := range prompts {
		r.Fingerprints = append(r.Fingerprints, fmt.Sprint(crash.incarnation, prompt, i))
		r.SentMillis = append(r.SentMillis, crash.sent)
		for _, part := range prompt {
			name := string(part)
			if running[name] {
				continue
			}
			running[name] = true
			r.Parts = append(r.Parts, RunningPart{
				Fingerprint: "part " + name, Name: name, Workspaces: []string{crash.workspace}, SentMillis: crash.sent,
				Answered: known[name], Unanswered: !known[name],
			})
		}
	}
	c.board, _ = verdict(c.t, c.board, r)
}

func (c *crashBoard) answerPart(name string, sent int64) {
	c.t.Helper()
	c.board, _ = verdict(c.t, c.board, &ClearSuspect{Fingerprint: "part " + name, Answers: 1, SentMillis: sent})
}

// nthCrash returns the nth of crashes that follow one another.
func nthCrash(n int) partCrash {
	return partCrash{incarnation: fmt.Sprint("server-", n), sent: int64(1000 * n), end: int64(1000*n + 900), workspace: "w", known: []string{"f", "g"}}
}

func (c *crashBoard) isPartRefused(name string) bool {
	s := c.board.Suspects["part "+name]
	return s.IsAttributed() && s.AppliesTo("w")
}

// Guards against a part that crashes servers under requests no two of which are alike, and against the blame of a
// part that all requests begin with.
func TestCrashesAreAttributedToAPartThatWasNeverAnswered(t *testing.T) {
	c := newCrashBoard(t)
	for n := range attributedCrashes {
		assert.Assert(t, !c.isPartRefused("x"))
		c.reportParts(nthCrash(n), "fx", "f", "fg")
	}
	assert.Assert(t, c.isPartRefused("x"))
	for n := attributedCrashes; n < 10; n++ {
		c.reportParts(nthCrash(n), "fx", "f")
	}
	assert.Assert(t, !c.isPartRefused("f"))
	assert.Assert(t, !c.isPartRefused("g"))
}

// Guards against a part whose earlier answers excuse its crashes for good, and against its blame before others were
// answered: the whole pool may have failed.
func TestCrashesAreAttributedToAPartThatWasAnsweredBefore(t *testing.T) {
	c := newCrashBoard(t)
	for n := range certainPartCrashes {
		crash := nthCrash(n)
		crash.sent, crash.end = int64(100*n), int64(100*n+90)
		c.reportParts(crash, "f", "g")
	}
	assert.Assert(t, !c.isPartRefused("f"))
	c.answerPart("g", 200)
	assert.Assert(t, c.isPartRefused("f"))
	assert.Assert(t, !c.isPartRefused("g"))
	c.answerPart("f", 250)
	assert.Assert(t, !c.isPartRefused("f"), "an answer to a run that was sent after a crash clears it")
}

// reportUnknown reports n crashes at the same moment of requests with a part, by entries that have just started.
func (c *crashBoard) reportUnknown(name string, sent int64, n int) {
	c.t.Helper()
	for i := range n {
		incarnation := fmt.Sprint(name, sent, i)
		c.board, _ = verdict(c.t, c.board, &ReportCrash{
			Fingerprints: []string{incarnation}, SentMillis: []int64{sent}, Incarnation: incarnation, Pool: "pool", NowMillis: sent + 90,
			Parts: []RunningPart{{Fingerprint: "part " + name, Name: name, Workspaces: []string{"w"}, SentMillis: sent}},
		})
	}
}

// answerWithout takes in an answer of a pool to a request without a part.
func (c *crashBoard) answerWithout(name string, sent int64) {
	c.t.Helper()
	c.board, _ = verdict(c.t, c.board, &ClearSuspect{Without: "part " + name, Answers: 1, SentMillis: sent})
}

// Guards against a part that crashes servers without end as nothing else was running on them that it could be compared
// with, and against its blame for the failure of a whole pool at once.
func TestPartIsComparedWithRequestsThatWereInNoCrash(t *testing.T) {
	c := newCrashBoard(t)
	c.reportUnknown("x", 1000, 8)
	c.answerWithout("x", 500)
	assert.Assert(t, !c.isPartRefused("x"), "the answer is of before the crashes")
	c.answerWithout("x", 1200)
	assert.Assert(t, !c.isPartRefused("x"), "the pool may have failed at once")
	c.reportUnknown("x", 1100, 3)
	assert.Assert(t, c.isPartRefused("x"))

	c = newCrashBoard(t)
	c.reportUnknown("x", 1000, 8)
	c.reportUnknown("x", 1100, 3)
	assert.Assert(t, !c.isPartRefused("x"), "no server of the pool may be sound")
	answer := &ClearSuspect{Without: "part x", Answers: 1, SentMillis: 1200}
	assert.Assert(t, !answer.IsIn(c.board.Suspects))
	c.answerWithout("x", 1200)
	assert.Assert(t, c.isPartRefused("x"))
	assert.Assert(t, answer.IsIn(c.board.Suspects), "one answer is enough")
}

// Guards against popular parts that are refused because all servers of a pool failed at once.
func TestSimultaneousCrashesAreAttributedToNoPopularPart(t *testing.T) {
	c := newCrashBoard(t)
	for round := range int64(2) {
		for n := range 40 {
			crash := nthCrash(n)
			crash.incarnation = fmt.Sprint(round, " ", n)
			crash.sent, crash.end = 5000*round+int64(n), 5000*round+1000+int64(n)
			// An entry that has not answered f lately reports first.
			unanswered := crash
			unanswered.known = nil
			c.reportPartsIn(fmt.Sprint(n%3), unanswered, "f")
			c.reportPartsIn(fmt.Sprint(n%3), crash, "f", "g")
			assert.Assert(t, !c.isPartRefused("f"), "after %d crashes", n+1)
			assert.Assert(t, !c.isPartRefused("g"))
		}
	}
	c.answerPart("g", 6500)
	assert.Assert(t, !c.isPartRefused("f"))
}

// Guards against the word of an entry that has answered a part, which is lost as another one has reported the crash.
func TestReportOfAnAnsweredPartIsTakenAfterTheCrashIsKnown(t *testing.T) {
	c := newCrashBoard(t)
	crash := nthCrash(0)
	crash.known = nil
	c.reportParts(crash, "f")
	assert.Assert(t, !c.board.Suspects["part f"].MayBeAnswered())
	c.reportParts(nthCrash(0), "f")
	assert.Assert(t, c.board.Suspects["part f"].MayBeAnswered())
}

// Guards against a new part that is refused because it was running on several servers of a pool that failed at once,
// and against requests with one part that crash their servers at the same moment without end.
func TestSimultaneousCrashesAreAttributedToANewPartInAllOfThem(t *testing.T) {
	for name, hasOthers := range map[string]bool{"the pool failed": true, "no other server crashed": false} {
		c := newCrashBoard(t)
		for n := range 8 {
			crash := nthCrash(n)
			crash.sent, crash.end = int64(n), 1000+int64(n)
			c.reportParts(crash, "fx")
			if hasOthers {
				crash.incarnation = fmt.Sprint("other ", n)
				c.reportParts(crash, "f")
			}
		}
		assert.Equal(t, c.isPartRefused("x"), !hasOthers, name)
	}
}

// Guards against a popular part that is refused while servers crash by themselves, one after the other.
func TestPartThatIsAnsweredBetweenCrashesIsNotBlamed(t *testing.T) {
	c := newCrashBoard(t)
	for n := range 40 {
		crash := nthCrash(n)
		c.reportParts(crash, "f", "g", "fg")
		if n%3 == 2 {
			c.answerPart("f", crash.end+100)
		}
		if n%4 == 3 {
			c.answerPart("g", crash.end+100)
		}
		assert.Assert(t, !c.isPartRefused("f") && !c.isPartRefused("g"), "after %d crashes", n+1)
	}
}

// Guards against a rare part that is refused because one request that holds it crashes servers.
func TestPartOfASingleCrashingRequestIsNotBlamed(t *testing.T) {
	c := newCrashBoard(t)
	for n := range 8 {
		crash := nthCrash(n)
		c.board, _ = verdict(t, c.board, &ReportCrash{
			Fingerprints: []string{"deadly"}, SentMillis: []int64{crash.sent}, Incarnation: crash.incarnation, Pool: "pool", NowMillis: crash.end,
			Parts: []RunningPart{{Fingerprint: "part r", Name: "r", Workspaces: []string{"w"}, SentMillis: crash.sent, Unanswered: true}},
		})
	}
	assert.Assert(t, c.isAttributed("deadly"))
	assert.Assert(t, !c.isPartRefused("r"))
}

// Guards against two parts that are always together, where only one is the cause: the first crash without the other
// one tells.
func TestInseparablePartsAreToldApartByACrash(t *testing.T) {
	c := newCrashBoard(t)
	for n := range certainPartCrashes {
		assert.Assert(t, !c.isPartRefused("x") && !c.isPartRefused("y"))
		c.reportParts(nthCrash(n), "fxy", "f")
	}
	assert.Assert(t, c.isPartRefused("x") && c.isPartRefused("y"))
	y := c.board.Suspects["part y"]
	assert.Equal(t, y.RetryAtMillis(), y.LastMillis+inseparableRetryAfter.Milliseconds())
	c.reportParts(nthCrash(certainPartCrashes), "fx", "f")
	assert.Assert(t, c.isPartRefused("x"))
	assert.Assert(t, !c.isPartRefused("y"))
}

// Guards against a second part that crashes servers and is excused by the first.
func TestTwoPartsThatCrashServersAreBothBlamed(t *testing.T) {
	c := newCrashBoard(t)
	for n := range 2 * certainPartCrashes {
		c.reportParts(nthCrash(n), []string{"fx", "fy"}[n%2], "f")
	}
	assert.Assert(t, c.isPartRefused("x"))
	assert.Assert(t, c.isPartRefused("y"))
	assert.Assert(t, !c.isPartRefused("f"))
}

// Guards against a part that a workspace makes others lose by naming it in requests that crash servers for another
// reason.
func TestPartIsRefusedOnlyToTheWorkspaceWhoseRequestsCrashed(t *testing.T) {
	c := newCrashBoard(t)
	for n := range certainPartCrashes {
		c.reportParts(nthCrash(n), "x")
	}
	x := c.board.Suspects["part x"]
	assert.Assert(t, x.AppliesTo("w"))
	assert.Assert(t, !x.AppliesTo("v"))
	crash := nthCrash(certainPartCrashes)
	crash.workspace = "v"
	c.reportParts(crash, "x")
	assert.Assert(t, c.board.Suspects["part x"].AppliesTo("third"))
}

// Guards against an innocent request that is refused because it met the part that crashes servers three times.
func TestRequestThatMetACrashingPartIsNotBlamed(t *testing.T) {
	c := newCrashBoard(t)
	for n := range 4 {
		crash := nthCrash(n)
		c.reportParts(crash, "fx")
		c.report(crash.incarnation, crash.sent, crash.end, "unlucky")
	}
	assert.Assert(t, c.isPartRefused("x"))
	assert.Assert(t, !c.isAttributed("unlucky"))
}

// Guards against further runs of a part that are granted without end: at most three send it on past the bound.
func TestFurtherRunsOfAPartAreBounded(t *testing.T) {
	c := newCrashBoard(t)
	for n := range attributedCrashes {
		c.reportParts(nthCrash(n), "fx")
	}
	granted := 0
	for now := int64(0); now < (20 * time.Hour).Milliseconds(); now += time.Minute.Milliseconds() {
		if next, v := verdict(t, c.board, &RetryAttributed{Fingerprint: "part x", NowMillis: now}); v.Applied {
			c.board = next
			granted++
		}
	}
	assert.Equal(t, granted, 3)
	c.board, _ = verdict(t, c.board, &ClearSuspect{Fingerprint: "part x", Answers: 1, SentMillis: 1, Granted: true})
	assert.Assert(t, !c.isPartRefused("x"), "a granted run that is answered clears it")
}

// Guards against a table that forgets a part which crashes servers for parts that were in one crash.
func TestFullTableKeepsPartsWithMostCrashes(t *testing.T) {
	c := newCrashBoard(t)
	for n := range 2 {
		c.reportParts(nthCrash(n), "fx")
	}
	crash := nthCrash(2)
	r := &ReportCrash{Incarnation: crash.incarnation, NowMillis: crash.end}
	for i := range 2 * maxParts {
		r.Parts = append(r.Parts, RunningPart{Fingerprint: fmt.Sprint("other ", i), SentMillis: crash.sent, Unanswered: true})
	}
	c.board, _ = verdict(t, c.board, r)
	assert.Equal(t, len(c.board.Suspects["part x"].Runs), 2)
	parts := 0
	for _, s := range c.board.Suspects {
		if s.Kind == CausePart {
			parts++
		}
	}
	assert.Equal(t, parts, maxParts)
}

// Guards against a popular part whose latest crash is not counted because its row is full, so that its report is
// taken for new without end.
func TestFullRowOfAPartTakesLaterCrashes(t *testing.T) {
	c := newCrashBoard(t)
	for n := range 2 * maxRuns {
		c.reportParts(nthCrash(n), "f")
	}
	f := c.board.Suspects["part f"]
	assert.Equal(t, len(f.Runs), maxRuns)
	assert.Assert(t, f.wasRunningOn(nthCrash(2*maxRuns-1).incarnation))
	old := &ReportCrash{Incarnation: "early", NowMillis: 1, Parts: []RunningPart{{Fingerprint: "part f"}}}
	assert.Assert(t, old.IsIn(c.board.Suspects))
}

// Guards against sound parts that are blamed, and a cause that is not, in random histories: popular and rare parts,
// a part that crashes each server that begins to answer it, servers that crash by themselves, reports in any order.
func TestRandomCrashesBlameTheCrashingPartAlone(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomParts(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

func runRandomParts(t *testing.T, r *rand.Rand) {
	const popular = "abcdefgh"
	c := newCrashBoard(t)
	var known []string
	for _, p := range popular {
		known = append(known, string(p))
	}
	deadlyCrashes := 0
	// since holds when crashes were attributed to parts that are answered: entries still send them for graceMillis.
	const graceMillis = 2000
	since := make(map[string]int64)
	for n := range 40 {
		now := int64(300 * n)
		isDeadly := r.IntN(2) == 0
		var prompts []string
		for range 2 + r.IntN(10) {
			// The square of a uniform number makes the first parts popular.
			x := r.Float64()
			prompts = append(prompts, string(popular[int(x*x*float64(len(popular)))]))
		}
		if isDeadly {
			prompts = append(prompts, string(popular[r.IntN(len(popular))])+"x")
		}
		r.Shuffle(len(prompts), func(i, j int) { prompts[i], prompts[j] = prompts[j], prompts[i] })
		crash := partCrash{incarnation: fmt.Sprint("server-", n), sent: now - 200, end: now, workspace: "w", known: known}
		// Two entries report a crash one after the other.
		half := len(prompts) / 2
		c.reportParts(crash, prompts[:half]...)
		c.reportParts(crash, prompts[half:]...)
		for _, p := range popular {
			if r.IntN(2) == 0 {
				c.answerPart(string(p), now-int64(r.IntN(1500)))
			}
		}
		if isDeadly {
			deadlyCrashes++
		}
		assert.Assert(t, deadlyCrashes < certainPartCrashes || c.isPartRefused("x"), "after %d crashes of the cause", deadlyCrashes)
		for _, p := range popular {
			name := string(p)
			if !c.isPartRefused(name) {
				delete(since, name)
				continue
			}
			if _, ok := since[name]; !ok {
				since[name] = now
			}
			assert.Assert(t, now-since[name] < graceMillis, "part %s after %d crashes", name, n+1)
		}
	}
}

// A table as after many crashes under requests with popular and rare parts.
func BenchmarkReportCrashWithParts(b *testing.B) {
	board := New()
	report := func(n int) *ReportCrash {
		r := &ReportCrash{Incarnation: fmt.Sprint("server-", n), Pool: "m", DataCentre: fmt.Sprint(n % 3), NowMillis: int64(1000*n + 900)}
		for k := range 26 {
			r.Fingerprints, r.SentMillis = append(r.Fingerprints, fmt.Sprint(n, " ", k)), append(r.SentMillis, int64(1000*n))
			r.Parts = append(r.Parts, RunningPart{Fingerprint: fmt.Sprint("part ", (k*k+n)%60), SentMillis: int64(1000 * n), Answered: true})
		}
		return r
	}
	for n := range 40 {
		encoded, err := Encode(report(n))
		assert.NilError(b, err)
		board, _, err = board.Apply(encoded)
		assert.NilError(b, err)
	}
	encoded, err := Encode(report(40))
	assert.NilError(b, err)
	for b.Loop() {
		_, _, err := board.Apply(encoded)
		assert.NilError(b, err)
	}
}

// reportRequest reports a crash that ended one request with a part, the same request each time.
func (c *crashBoard) reportRequest(crash partCrash, request, part string) {
	c.t.Helper()
	c.board, _ = verdict(c.t, c.board, &ReportCrash{
		Fingerprints: []string{request}, SentMillis: []int64{crash.sent}, Incarnation: crash.incarnation, Pool: "pool", NowMillis: crash.end,
		Parts: []RunningPart{{Fingerprint: "part " + part, Name: part, Workspaces: []string{"w"}, SentMillis: crash.sent, Unanswered: true}},
	})
}

// Guards against a request that is sent on after a part of its prompt was held for its crashes and has been answered
// under another request.
func TestRequestIsBlamedOnceItsPartIsCleared(t *testing.T) {
	c := newCrashBoard(t)
	for n := range certainPartCrashes {
		// The report of another entry about the part comes before that about the request.
		c.reportParts(nthCrash(n), "x")
		c.reportRequest(nthCrash(n), "cause", "x")
	}
	c.answerPart("x", int64(1000*certainPartCrashes))
	assert.Assert(t, !c.isPartRefused("x"))
	assert.Assert(t, c.isAttributed("cause"))
}

// Guards against a part that stays refused, and the request that holds it is not, when it turns out that the request
// was running in all of the part's crashes.
func TestPartIsReleasedOnceARequestExplainsItsCrashes(t *testing.T) {
	c := newCrashBoard(t)
	for n := range attributedCrashes - 1 {
		c.reportRequest(nthCrash(n), "cause", "x")
	}
	c.reportParts(nthCrash(attributedCrashes-1), "x")
	assert.Assert(t, c.isPartRefused("x"), "the request was not in the last one")
	c.reportRequest(nthCrash(attributedCrashes-1), "cause", "x")
	assert.Assert(t, c.isAttributed("cause"))
	assert.Assert(t, !c.isPartRefused("x"))
}
