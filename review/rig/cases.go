//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The size of the deployment.
const (
	controlCount = 5
	entryCount   = 6
	runnerTime   = 30 * time.Millisecond
	settleTime   = 2 * time.Second
)

// startService starts a deployment, its first configuration and runners of one plain service, and waits until it
// serves. prepare, if it is not nil, changes each runner before its first start.
func startService(r *record, runners int, prepare func(i int, x *runner)) (*deployment, []*runner) {
	return startServiceOn(newDeployment(r, controlCount, entryCount), runners, prepare)
}

func startServiceOn(d *deployment, runners int, prepare func(i int, x *runner)) (*deployment, []*runner) {
	d.startAll()
	if !putConfiguration(d, 7, 20*time.Second) {
		couldNotRun("the first configuration was not acknowledged")
	}
	d.awaitReady(10 * time.Second)
	var list []*runner
	for i := range runners {
		x := newRunner(d, i)
		if prepare != nil {
			prepare(i, x)
		}
		x.start()
		list = append(list, x)
	}
	time.Sleep(settleTime)
	return d, list
}

func newRunner(d *deployment, i int) *runner {
	return &runner{
		record: d.record, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i*0x01010101), service: service, zone: zones[i%len(zones)],
		host: "127.0.0.1", controls: d.controlAddresses(), work: runnerTime,
	}
}

// requireAnswers ends a case in which hardly anything was served.
func requireAnswers(c *clients) {
	if c.answered.Load()*2 < c.sent.Load() {
		couldNotRun("only %d of %d requests were answered", c.answered.Load(), c.sent.Load())
	}
}

// brokenIfDenied applies the rule DENIED: at most 5 and one in 500 of all requests are ended with a 3xx or 4xx that no
// runner has signed.
func brokenIfDenied(c *clients) []string {
	denied, sent := c.denied.Load(), c.sent.Load()
	if allowed := 5 + sent/500; denied > allowed {
		return []string{fmt.Sprintf("%d of %d proper requests were ended with a 3xx or 4xx that no runner had signed; %d are allowed", denied, sent, allowed)}
	}
	return nil
}

// additionalBytesOfARunner: three of five runners send additional bytes after three in a hundred of their answers, for
// five seconds. The rule is DENIED.
func additionalBytesOfARunner(r *record, trouble bool) []string {
	const (
		faultyCount = 3
		part        = 0.03
	)
	var from, until time.Time
	d, _ := startService(r, 5, func(i int, x *runner) {
		if i < faultyCount {
			spoils := func() bool {
				now := time.Now()
				return trouble && now.After(from) && now.Before(until) && rand.Float64() < part
			}
			x.wrap = additionalBytesAfter(x, spoils)
		}
	})
	defer d.stop()
	from = time.Now().Add(2 * time.Second)
	until = from.Add(garbleTime)
	c := startClients(d, 60, true)
	time.Sleep(8 * time.Second)
	c.stop()
	requireAnswers(c)
	return brokenIfDenied(c)
}

// goodbyeOfALaterLife: five of ten runners crash one after the other, and start again under their ids, each at a new
// address. That happens twice. Later these five are replaced one after the other: a new one starts, and the old one says
// goodbye. DRAIN is broken if a request reaches a runner later than drainMs after its goodbye was acknowledged.
func goodbyeOfALaterLife(r *record, trouble bool) []string {
	const (
		runnerCount   = 10
		replacedCount = 5
		crashes       = 2
		downTime      = time.Second
		linger        = 8 * time.Second
		releaseGap    = 1100 * time.Millisecond
	)
	d, all := startService(r, runnerCount, nil)
	runners := all[:replacedCount]
	defer d.stop()
	for range crashes {
		for _, x := range runners {
			if trouble {
				x.end()
				time.Sleep(downTime)
				x.start()
			}
		}
	}
	// The former lives have been silent for longer than a dead one by then.
	time.Sleep(6 * time.Second)
	c := startClients(d, 3, false)
	time.Sleep(settleTime)
	acknowledged := map[*runner]time.Time{}
	for i, x := range runners {
		began := time.Now()
		newRunner(d, runnerCount+i).start()
		awaitHeartbeat(x)
		by, at := x.leave()
		if by == "" {
			couldNotRun("no goodbye of %s was acknowledged", x.id)
		}
		acknowledged[x] = at
		time.AfterFunc(linger, x.end)
		time.Sleep(time.Until(began.Add(releaseGap)))
	}
	time.Sleep(linger)
	c.stop()
	requireAnswers(c)
	var broken []string
	for _, x := range runners {
		at := acknowledged[x]
		for _, a := range x.arrivalsSince(at.Add(drainTime + clockMargin)) {
			broken = append(broken, fmt.Sprintf("request %s reached runner %s %.3f s after its goodbye was acknowledged", a.id, a.runner, a.at.Sub(at).Seconds()))
		}
	}
	return broken
}

// awaitHeartbeat waits until a runner's next heartbeat has been acknowledged.
func awaitHeartbeat(x *runner) {
	began := time.Now()
	for time.Since(began) < 2*heartbeatInterval {
		x.mu.Lock()
		last := x.lastBeat
		x.mu.Unlock()
		if last.After(began) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// lossAtTheFirstStart: all machines start for the first time. Two fifths of a second later one of the core is gone for good,
// and an empty one comes at another address. From then on as many machines of the core run as are wanted, all of them
// connected. The rule Acks is broken if the first configuration is not acknowledged within ackMs of stable time.
func lossAtTheFirstStart(r *record, trouble bool) []string {
	const (
		lostAfter     = 400 * time.Millisecond
		replacedAfter = time.Second
		observed      = 40 * time.Second
	)
	d := newDeployment(r, controlCount, entryCount)
	defer d.stop()
	d.startAll()
	last := time.Now()
	if trouble {
		time.Sleep(lostAfter)
		d.lose(d.controls[0])
		time.Sleep(replacedAfter)
		d.replace(0)
		last = time.Now()
	}
	// The core is stable contactMs after the last start of a machine.
	limit := contactTime + ackTime
	if !putConfiguration(d, 7, observed) {
		return []string{"the first configuration was not acknowledged within " + observed.String()}
	}
	took := time.Since(last)
	r.add("operator", "acknowledged", "after", took)
	if took > limit {
		return []string{"the first configuration was acknowledged after " + took.String()}
	}
	return nil
}
