package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// cutOffWriter returns a writer as of an entry that is cut off from the leader, which knows a number of suspects.
func cutOffWriter(suspects int) *suspectWriter {
	q := &suspectWriter{isFailing: true}
	board := make(map[string]blackboard.Suspect)
	q.changed(time.Now(), board)
	for i := range suspects / 24 {
		q.observe(time.Now(), benchReport(i))
		q.changed(time.Now(), board)
	}
	return q
}

// benchReport returns the report of the nth crash, of twelve requests with a part each.
func benchReport(n int) *blackboard.ReportCrash {
	end := time.Duration(n) * 100 * time.Millisecond
	r := &blackboard.ReportCrash{Incarnation: fmt.Sprint("server-", n), Pool: "m", NowMillis: end.Milliseconds(), HasSilentEntries: true}
	for k := range 12 {
		f, part := fmt.Sprintf("request-%d-%d", n, k), fmt.Sprintf("part-%d-%d", n, k)
		if k < 3 {
			f, part = fmt.Sprint("again-", (n+k)%20), fmt.Sprint("part-", (n+k)%20)
		}
		r.Fingerprints, r.SentMillis = append(r.Fingerprints, f), append(r.SentMillis, end.Milliseconds()-50)
		r.Parts = append(r.Parts, blackboard.RunningPart{Fingerprint: part, Name: part, SentMillis: end.Milliseconds() - 50, Unanswered: true})
	}
	return r
}

// The cost of a crash, and of an answer to a request with a part, at an entry that can't write them, by the number of
// suspects:
//
//	go test -run '^$' -bench CutOff -benchmem ./internal/entry
func BenchmarkCrashAtACutOffEntry(b *testing.B) {
	for _, suspects := range []int{240, 1200, 4080} {
		b.Run(fmt.Sprint(suspects), func(b *testing.B) {
			q := cutOffWriter(suspects)
			n := suspects
			for b.Loop() {
				n++
				q.observe(time.Now(), benchReport(n))
			}
		})
	}
}

func BenchmarkAnswerAtACutOffEntry(b *testing.B) {
	for _, suspects := range []int{240, 1200, 4080} {
		b.Run(fmt.Sprint(suspects), func(b *testing.B) {
			q := cutOffWriter(suspects)
			n := 0
			for b.Loop() {
				n++
				q.addLocal(blackboard.AnsweredPart(fmt.Sprint("part-", n%20), time.Millisecond, false).After(0, time.Now()))
			}
		})
	}
}
