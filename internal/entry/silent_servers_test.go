package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// silence is longer than all limits of silence in this package, and shorter than a request's time.
const silence = 4 * time.Second

// Guards against sound answers that their entry ends because a backend server is silent for a while and no other attempt can be made.
func TestSilentServersCutNoAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		route   string
		callers int
		retries float64
		// others are the groups whose streams go on.
		others int
	}{
		"an answer that may not resume":     {"single", 1, 5000, 0},
		"all answers of all groups":         {"stream", 40, 5000, 0},
		"more answers than retries":         {"stream", 40, 4, 2},
		"an answer, and no retries at all":  {"stream", 1, 0.01, 3},
		"answers that may not resume, many": {"single", 40, 5000, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSoundSystem(t, c.retries)
				callers := x.beginMany(c.route, c.callers)
				x.serveOnly(allGroups[:c.others], silence)
				x.finish(callers...)
			})
		})
	}
}

// serveOnly lets time pass while only the servers of some groups send events.
func (x *soundSystem) serveOnly(groups []string, d time.Duration) {
	sends := make(map[string]bool)
	for _, g := range groups {
		sends[g] = true
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		x.pass(defaultSilenceLimit - 100*time.Millisecond)
		for _, r := range x.servers.open() {
			if sends[r.group()] && r.sent < streamEvents-1 {
				r.send()
			}
		}
		synctest.Wait()
	}
}

// Guards against answers that wait for a silent group although another one and retries are at hand.
func TestAnswersOfASilentGroupGoOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 16)
		silent := allGroups[3]
		x.serveOnly(allGroups[:3], 2*defaultSilenceLimit+packetLossAllowance)
		for _, r := range x.servers.open() {
			assert.Assert(t, r.group() != silent, "an answer still waits for the silent group")
		}
		x.finish(callers...)
	})
}

// Guards against groups that the leader breaks because all streams of an entry stop at the same moment.
func TestSilenceOfAllGroupsIsHeldAgainstNone(t *testing.T) {
	for name, c := range map[string]struct{ sending, reported int }{
		"all silent": {0, 0}, "all but one silent": {1, 0}, "two silent": {2, 2}, "one silent": {3, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSoundSystem(t, 5000)
				reports := make(stallReports, 64)
				x.s.o.StallReporter = reports
				callers := x.beginMany("stream", 16)
				x.serveOnly(allGroups[:c.sending], defaultSilenceLimit+200*time.Millisecond)
				close(reports)
				reported := make(map[string]bool)
				for group := range reports {
					reported[group] = true
				}
				assert.Equal(t, len(reported), c.reported)
				x.s.o.StallReporter = nil
				x.finish(callers...)
			})
		})
	}
}
