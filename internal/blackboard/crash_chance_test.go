package blackboard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashingPool is a pool in virtual time: its servers crash by themselves, callers send each request again until it
// is answered, and one request crashes each server that runs it.
type crashingPool struct {
	random *rand.Rand
	// servers is the number of servers, each of which crashes by itself once in meanLife; restart is how long it is
	// away. A request runs for length on it.
	servers                   int
	meanLife, restart, length time.Duration
	// callers send requests, each one again until it is answered; causeEvery is the time between two sends of the
	// request that crashes servers.
	callers    int
	causeEvery time.Duration
	// isolates is set if a request that was in a crash runs alone, hasSilentEntries if entries say nothing of crashes.
	isolates, hasSilentEntries bool

	now      time.Duration
	runs     map[int][]poolRun
	downTo   map[int]time.Duration
	lives    map[int]int
	suspects map[string]Suspect
	// requests counts the requests of callers, blamed holds those that were refused, and for how long.
	requests int
	blamed   map[string]time.Duration
	// causeCrashes and causeSends hold when the request that crashes servers did so, and was sent.
	causeCrashes, causeSends []time.Duration
}

type poolRun struct {
	request string
	caller  int
	sent    time.Duration
	// crashes is set if the run crashes its server, isAlone if no other one may start there.
	crashes, isAlone bool
}

const (
	poolTick        = 10 * time.Millisecond
	crashingRequest = "cause"
	causeCrashTime  = 50 * time.Millisecond
)

// play lets the time pass and returns what became of the requests.
func (p *crashingPool) play(length time.Duration) {
	p.runs, p.downTo, p.lives = make(map[int][]poolRun), make(map[int]time.Duration), make(map[int]int)
	p.suspects, p.blamed = make(map[string]Suspect), make(map[string]time.Duration)
	requests, idle := make([]string, p.callers), make([]bool, p.callers)
	for i := range idle {
		idle[i] = true
	}
	nextCause := time.Duration(0)
	for ; p.now < length; p.now += poolTick {
		for server := range p.servers {
			p.endRuns(server, requests, idle)
		}
		for caller := range p.callers {
			if !idle[caller] {
				continue
			}
			if requests[caller] == "" {
				p.requests++
				requests[caller] = fmt.Sprint("request-", p.requests)
			}
			idle[caller] = !p.send(poolRun{request: requests[caller], caller: caller, sent: p.now})
		}
		if p.causeEvery > 0 && p.now >= nextCause {
			nextCause = p.now + p.causeEvery
			if p.send(poolRun{request: crashingRequest, caller: -1, sent: p.now, crashes: true}) {
				p.causeSends = append(p.causeSends, p.now)
			}
		}
	}
}

// send starts a run on a random server, and reports whether there was one and the request is not refused.
func (p *crashingPool) send(r poolRun) bool {
	s := p.suspects[r.request]
	if s.IsAttributed() {
		if p.now.Milliseconds() < s.RetryAtMillis() {
			if !r.crashes {
				p.blamed[r.request] += poolTick
			}
			return false
		}
		d := &draft{Board: Board{Suspects: p.suspects}}
		_, granted := RetryAttributed{Fingerprint: r.request, NowMillis: p.now.Milliseconds()}.apply(d)
		p.suspects = d.Suspects
		if !granted {
			if !r.crashes {
				p.blamed[r.request] += poolTick
			}
			return false
		}
	}
	r.isAlone = p.isolates && s.Crashes > 0
	var free []int
	for server := range p.servers {
		runs := p.runs[server]
		isTaken := len(runs) > 0 && (r.isAlone || runs[0].isAlone)
		if p.downTo[server] <= p.now && !isTaken {
			free = append(free, server)
		}
	}
	if len(free) == 0 {
		return false
	}
	server := free[p.random.IntN(len(free))]
	p.runs[server] = append(p.runs[server], r)
	return true
}

// endRuns ends the runs of a server that are over, all of them if it crashes.
func (p *crashingPool) endRuns(server int, requests []string, idle []bool) {
	if p.downTo[server] > p.now {
		return
	}
	isCrash := p.random.Float64() < float64(poolTick)/float64(p.meanLife)
	for _, r := range p.runs[server] {
		isCrash = isCrash || (r.crashes && p.now-r.sent >= causeCrashTime)
	}
	if isCrash {
		p.crash(server, idle)
		return
	}
	p.runs[server] = slices.DeleteFunc(p.runs[server], func(r poolRun) bool {
		if r.crashes || p.now-r.sent < p.length {
			return false
		}
		if p.suspects[r.request].NeedsAnswers() {
			Answered(r.request, false, p.suspects[r.request].IsAttributed()).changeSuspects(p.suspects)
		}
		requests[r.caller], idle[r.caller] = "", true
		return true
	})
}

func (p *crashingPool) crash(server int, idle []bool) {
	busy := 0
	for other := range p.servers {
		if len(p.runs[other]) > 0 {
			busy++
		}
	}
	p.downTo[server] = p.now + p.restart
	p.lives[server]++
	report := ReportCrash{
		Incarnation: fmt.Sprintf("%d@%d", server, p.lives[server]), Pool: "pool", NowMillis: p.now.Milliseconds(), BusyTargets: busy,
		HasSilentEntries: p.hasSilentEntries,
	}
	for _, r := range p.runs[server] {
		report.Alone = r.isAlone
		report.Fingerprints = append(report.Fingerprints, r.request)
		report.SentMillis = append(report.SentMillis, r.sent.Milliseconds())
		if r.crashes {
			p.causeCrashes = append(p.causeCrashes, p.now)
		} else {
			idle[r.caller] = true
		}
	}
	p.runs[server] = nil
	if len(report.Fingerprints) > 0 {
		report.changeSuspects(p.suspects)
	}
}

// causeSendsPastBound counts the sends of the request that crashes servers from the contact time after its third
// crash on.
func (p *crashingPool) causeSendsPastBound() int {
	const contactTime = 3 * time.Second
	past := 0
	for _, sent := range p.causeSends {
		if len(p.causeCrashes) >= 3 && sent > p.causeCrashes[2]+contactTime {
			past++
		}
	}
	return past
}

// The rule on a request that crashes servers, and the target for all others: of requests whose runs are ended by a
// crash at the given chance or less, one in maxBlamedShare may be refused as crashing.
const (
	maxCauseSendsPastBound = 3
	maxChanceOfRun         = 0.2
	maxBlamedShare         = 1e-3
)

// Guards against requests that are refused as crashing because servers crash by themselves, however often, beside
// one that crashes them and that has to be stopped in time.
func TestBlameByRateOfCrashesAndLengthOfRuns(t *testing.T) {
	for _, mode := range []struct {
		name                       string
		servers                    int
		isolates, hasSilentEntries bool
	}{
		{name: "two servers", servers: 2}, {name: "four servers", servers: 4},
		{name: "eight servers", servers: 8}, {name: "thirty-two servers", servers: 32},
		{name: "eight servers, suspects run alone", servers: 8, isolates: true},
		{name: "eight servers, entries say nothing", servers: 8, hasSilentEntries: true},
	} {
		t.Run(mode.name, func(t *testing.T) {
			t.Parallel()
			for _, life := range []time.Duration{2 * time.Second, 4 * time.Second, 10 * time.Second, time.Minute} {
				for _, length := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
					base := crashingPool{
						servers: mode.servers, meanLife: life, restart: 2 * time.Second, length: length, callers: 8,
						causeEvery: 250 * time.Millisecond, isolates: mode.isolates, hasSilentEntries: mode.hasSilentEntries,
					}
					checkBlame(t, base)
				}
			}
		})
	}
}

func checkBlame(t *testing.T, base crashingPool) {
	t.Helper()
	requests, blamed, past, crashes := 0, 0, 0, 0
	longest := time.Duration(0)
	for seed := range uint64(4) {
		p := base
		p.random = rand.New(rand.NewPCG(seed, 73))
		p.play(100 * time.Second)
		requests, blamed = requests+p.requests, blamed+len(p.blamed)
		for _, refused := range p.blamed {
			longest = max(longest, refused)
		}
		past, crashes = max(past, p.causeSendsPastBound()), max(crashes, len(p.causeCrashes))
	}
	chance := float64(base.length) / float64(base.meanLife)
	t.Logf("servers live %s, runs take %s (chance %.3f): %d requests, %d blamed, refused for %s at most; the cause: %d crashes, %d sends past the bound",
		base.meanLife, base.length, chance, requests, blamed, longest.Round(10*time.Millisecond), crashes, past)
	assert.Check(t, past <= maxCauseSendsPastBound, "%d sends past the bound", past)
	// Where all servers run all requests, nothing tells them from the one that crashes servers; nor does it where
	// entries don't tell what they were running.
	if chance <= maxChanceOfRun && base.servers >= base.callers && !base.hasSilentEntries {
		assert.Check(t, float64(blamed) <= maxBlamedShare*float64(requests), "%d of %d requests are blamed", blamed, requests)
	}
}
