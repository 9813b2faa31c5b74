//go:build review

package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The names that the configurations of the cases use.
const (
	host         = "ficu95.example"
	service      = "wuno96b"
	key          = "n2ctnfzs989anu6wsjnb"
	tenant       = "hule930"
	oncePrefix   = "/pufi791/"
	manyPrefix   = "/lohu930/"
	waitForServe = 30 * time.Second
)

// routeText is one route of a configuration.
func routeText(name, prefix, kind string, attempts int) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"routeKind":%q,"timeoutMs":4000,"sloMs":300,"priority":2,"service":%q,"maxAttempts":%d,"public":false,"sticky":false,"resumable":false}`,
		name, host, prefix, kind, service, attempts)
}

// configurationText is a whole configuration.
func configurationText(version int, routes ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":%q,"apiKeys":[%q],"priority":1}]}`, version, strings.Join(routes, ","), service, tenant, key)
}

var zones = []string{"hall-a", "hall-b", "hall-c"}

// prepare starts runners, configures the cluster and waits until each entry answers requests on a path.
func (e *environment) prepare(runners int, configuration, path string, respond func(i int) func(*runner, arrival) bool) error {
	for i := range runners {
		r := &runner{id: fmt.Sprintf("i-%06x", rand.Intn(1<<24)), service: service, zone: zones[i%len(zones)]}
		if respond != nil {
			r.respond = respond(i)
		}
		if err := e.newRunner(r); err != nil {
			return err
		}
	}
	if err := e.cluster.configure(configuration, waitForServe); err != nil {
		return err
	}
	e.record.now("the configuration is acknowledged")
	for i := range e.cluster.entries {
		if err := e.awaitService(i, path); err != nil {
			return err
		}
	}
	// All runners have announced themselves to all entries by then.
	time.Sleep(3 * heartbeatTime)
	e.record.now("all entries serve")
	return nil
}

func (e *environment) awaitService(entry int, path string) error {
	var last result
	for end := time.Now().Add(waitForServe); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		last = send(e.cluster.front(entry), request{method: http.MethodGet, target: path, host: host, key: key, deadline: 2 * time.Second})
		if last.status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry %d does not serve: %d %s %v", entry, last.status, last.body, last.err)
}

// load sends requests at a rate to all entries in turn, for a time, and returns what the clients saw.
func (e *environment) load(perSecond int, length time.Duration, next func() request) []result {
	var mu sync.Mutex
	var results []result
	var open sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := range int(length.Seconds() * float64(perSecond)) {
		<-ticker.C
		q := next()
		address := e.cluster.front(i % len(e.cluster.entries))
		open.Add(1)
		go func() {
			defer open.Done()
			r := send(address, q)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		}()
	}
	open.Wait()
	return results
}

// describe records what a client saw.
func (e *environment) describe(r result) {
	e.record.add(r.sent, "client sends %s %s, id %s", r.method, r.target, r.id)
	e.record.add(r.ended, "client gets for id %s: status %d, signature %q, body %q, error %v", r.id, r.status, r.header.Get("X-Citronstep-Response-Signature"), r.body, r.err)
}

var scenarios = map[string]scenario{
	"run-then-503":           {entries: 2, run: runThen503},
	"extra-bytes":            {entries: 2, run: extraBytes},
	"lost-pair":              {entries: 1, run: lostPair},
	"pause-beside-lost-disk": {entries: 1, run: pauseBesideLostDisk},
	"same-id":                {entries: 2, run: sameID},
	"late-orders":            {entries: 1, run: lateOrdersOfEarlierLeader},
	"other-writer":           {entries: 2, run: otherWriter},
}

// shortWork is how long a runner works on a request in runThen503 and extraBytes.
const shortWork = 60 * time.Millisecond

// runThen503: one of seven runners fails a part of its requests, although its health check is good: it runs them and
// answers 503, without the header that says that it did not.
func runThen503(e *environment) (bool, error) {
	var mu sync.Mutex
	ran := map[string]int{}
	count := 0
	respond := func(i int) func(*runner, arrival) bool {
		return func(r *runner, a arrival) bool {
			if a.method != http.MethodPost {
				return answerSoundly(r, a)
			}
			mu.Lock()
			ran[a.id]++
			count++
			fails := e.trouble && i == 0 && count%5 < 2
			mu.Unlock()
			e.record.add(a.at, "runner %s runs id %s", r.id, a.id)
			time.Sleep(shortWork)
			if !fails {
				return answerSoundly(r, a)
			}
			e.record.now("runner %s ends the run of id %s with 503, without X-Citronstep-Not-Executed", r.id, a.id)
			return r.answer(a, "503 Service Unavailable", "failed")
		}
	}
	configuration := configurationText(1, routeText("once", oncePrefix, "non_idempotent", 1), routeText("many", manyPrefix, "idempotent", 2))
	if err := e.prepare(7, configuration, manyPrefix+"probe", respond); err != nil {
		return false, err
	}
	results := e.load(40, 15*time.Second, func() request {
		return request{method: http.MethodPost, target: oncePrefix + "2f", host: host, key: key, body: "note", deadline: 4 * time.Second}
	})
	broken, served := 0, 0
	for _, r := range results {
		e.describe(r)
		switch {
		case r.status == http.StatusOK:
			served++
		case (r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421) && ran[r.id] > 0:
			broken++
		}
	}
	fmt.Printf("%d requests, %d served, %d answered 429, 503, 408 or 421 though they have run\n", len(results), served, broken)
	if served < len(results)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return broken == 0, nil
}

// extraBytes: two of four runners send further bytes after a complete answer, which arrive where the next answer on
// the connection is expected. They carry no request id.
func extraBytes(e *environment) (bool, error) {
	const foreign = "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\nnot found\n"
	var mu sync.Mutex
	answers, extra := 0, 0
	ran := map[string]string{}
	due := map[any]bool{}
	respond := func(i int) func(*runner, arrival) bool {
		return func(r *runner, a arrival) bool {
			time.Sleep(shortWork)
			mu.Lock()
			ran[a.id] = r.id
			sendExtra := due[a.conn]
			delete(due, a.conn)
			if i < 2 && e.trouble && !sendExtra {
				answers++
				if answers%50 == 0 {
					due[a.conn] = true
				}
			}
			if sendExtra {
				extra++
			}
			mu.Unlock()
			if sendExtra {
				e.record.now("runner %s sends further bytes that belong to its last answer, then answers id %s", r.id, a.id)
				if _, err := a.conn.Write([]byte(foreign)); err != nil {
					return false
				}
			}
			return answerSoundly(r, a)
		}
	}
	configuration := configurationText(1, routeText("many", manyPrefix, "idempotent", 2))
	if err := e.prepare(4, configuration, manyPrefix+"probe", respond); err != nil {
		return false, err
	}
	results := e.load(100, 40*time.Second, func() request {
		return request{method: http.MethodGet, target: manyPrefix + "2f", host: host, key: key, deadline: 4 * time.Second}
	})
	foreignAnswers, served := 0, 0
	for _, r := range results {
		if r.status == http.StatusOK && r.body == wholeBody(r.id) {
			served++
			continue
		}
		e.describe(r)
		if r.status >= 300 && r.status < 500 && r.header.Get("X-Citronstep-Response-Signature") == "" {
			foreignAnswers++
			e.record.add(r.ended, "id %s was run by runner %q", r.id, ran[r.id])
		}
	}
	fmt.Printf("%d requests, %d served, %d times further bytes, %d answers of 3xx or 4xx without a signature\n", len(results), served, extra, foreignAnswers)
	if served < len(results)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return foreignAnswers <= 5+len(results)/500, nil
}

// workTime is how long a runner works on a request in sameID.
const workTime = 400 * time.Millisecond

// drainTime is drainMs: how long a runner goes on to serve after its leaving is acknowledged.
const drainTime = 2 * time.Second

// sameID: a runner crashes and starts again under its id, at another address. Later it leaves: it deregisters, serves
// for drainMs and a little longer, and exits.
func sameID(e *environment) (bool, error) {
	var mu sync.Mutex
	late, ended := 0, map[string]bool{}
	acked := map[string]time.Time{}
	running := map[string]string{}
	respond := func(r *runner, a arrival) bool {
		mu.Lock()
		at, leaves := acked[r.id]
		if leaves && a.at.Sub(at) > drainTime {
			late++
			e.record.add(a.at, "runner %s gets id %s %.3f s after it was acknowledged that it leaves", r.id, a.id, a.at.Sub(at).Seconds())
		}
		running[a.id] = r.id
		mu.Unlock()
		time.Sleep(workTime)
		mu.Lock()
		over := ended[r.id]
		mu.Unlock()
		if over {
			return false
		}
		return answerSoundly(r, a)
	}
	configuration := configurationText(1, routeText("once", oncePrefix, "non_idempotent", 1), routeText("many", manyPrefix, "idempotent", 2))
	if err := e.prepare(6, configuration, manyPrefix+"probe", func(int) func(*runner, arrival) bool { return respond }); err != nil {
		return false, err
	}
	done := make(chan error, 1)
	go func() { done <- e.replaceRunners(6, respond, &mu, acked, ended) }()
	var results []result
	for open := true; open; {
		select {
		case err := <-done:
			if err != nil {
				return false, err
			}
			open = false
		default:
			results = append(results, e.load(20, time.Second, func() request {
				return request{method: http.MethodPost, target: oncePrefix + "2f", host: host, key: key, body: "note", deadline: 4 * time.Second}
			})...)
		}
	}
	served, lost := 0, 0
	for _, r := range results {
		if r.status == http.StatusOK {
			served++
			continue
		}
		e.describe(r)
		if running[r.id] != "" {
			lost++
			e.record.add(r.ended, "id %s had been passed on to runner %s", r.id, running[r.id])
		}
	}
	fmt.Printf("%d requests, %d served, %d passed on and not answered with success, %d reached a runner later than drainMs after its leaving was acknowledged\n", len(results), served, lost, late)
	if served < len(results)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return late == 0, nil
}

// replaceRunners replaces runners, one after the other. Each new one crashes once and starts again before it leaves.
func (e *environment) replaceRunners(n int, respond func(*runner, arrival) bool, mu *sync.Mutex, acked map[string]time.Time, ended map[string]bool) error {
	for i := range n {
		r := &runner{id: fmt.Sprintf("i-9%05x", rand.Intn(1<<20)), service: service, zone: zones[i%3], respond: respond}
		if err := e.newRunner(r); err != nil {
			return err
		}
		e.record.now("runner %s starts at %s", r.id, r.address)
		time.Sleep(2 * heartbeatTime)
		if e.trouble {
			e.record.now("runner %s crashes", r.id)
			r.stop()
			time.Sleep(2500 * time.Millisecond)
			if err := r.restart(); err != nil {
				return err
			}
			e.record.now("runner %s starts again at %s", r.id, r.address)
		}
		time.Sleep(3 * heartbeatTime)
		at, err := r.leave()
		if err != nil {
			return err
		}
		e.record.add(at, "it is acknowledged that runner %s leaves", r.id)
		mu.Lock()
		acked[r.id] = at
		mu.Unlock()
		time.Sleep(time.Until(at.Add(drainTime + 1500*time.Millisecond)))
		mu.Lock()
		ended[r.id] = true
		mu.Unlock()
		r.stop()
		e.record.now("runner %s exits", r.id)
	}
	return nil
}
