//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// otherWriter: a process that is no runner sends heartbeats in which fields are missing. It answers each request that
// reaches it as a web server answers for a path that it does not know.
func otherWriter(e *environment) (bool, error) {
	ran := sync.Map{}
	respond := func(int) func(*runner, arrival) bool {
		return func(r *runner, a arrival) bool {
			ran.Store(a.id, r.id)
			time.Sleep(shortWork)
			return answerSoundly(r, a)
		}
	}
	configuration := configurationText(1, routeText("once", oncePrefix, "non_idempotent", 1), routeText("many", manyPrefix, "idempotent", 2))
	if err := e.prepare(3, configuration, manyPrefix+"probe", respond); err != nil {
		return false, err
	}
	reached := sync.Map{}
	stop, err := e.startOtherWriter(&reached)
	if err != nil {
		return false, err
	}
	defer stop()
	time.Sleep(3 * heartbeatTime)
	results := e.load(50, 20*time.Second, func() request {
		return request{method: http.MethodPost, target: oncePrefix + "2f", host: host, key: key, body: "note", deadline: 4 * time.Second}
	})
	served, denied, foreign := 0, 0, 0
	for _, r := range results {
		if r.status == http.StatusOK {
			served++
			continue
		}
		e.describe(r)
		if r.status >= 300 && r.status < 500 && r.status != 408 && r.status != 421 && r.status != 429 && r.header.Get("X-Citronstep-Response-Signature") == "" {
			denied++
		}
		if at, ok := reached.Load(r.id); ok {
			foreign++
			e.record.add(at.(time.Time), "id %s reaches the other writer, which is no runner", r.id)
		}
	}
	fmt.Printf("%d requests, %d served, %d ended with a 3xx or 4xx without a signature, %d reached a process that is no runner\n", len(results), served, denied, foreign)
	if len(results) == 0 || (!e.trouble && served < len(results)/2) {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return denied <= 5+len(results)/500, nil
}

// startOtherWriter starts the process that is no runner. It notes the ids of the requests that reach it.
func (e *environment) startOtherWriter(reached *sync.Map) (stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reached.Store(r.Header.Get("X-Citronstep-Request-Id"), time.Now())
		http.NotFound(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	done := make(chan struct{})
	stop = func() {
		close(done)
		_ = server.Close()
	}
	if e.trouble {
		go e.writeHeartbeats(l.Addr().String(), done)
	}
	return stop, nil
}

// writeHeartbeats sends heartbeats without version, slots and coldLeftMs to one machine after the other.
func (e *environment) writeHeartbeats(address string, done <-chan struct{}) {
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	born := time.Now().UnixMilli()
	controls := e.cluster.controlAddresses()
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": address, "zone": zones[0], "state": "ready", "seq": seq, "born": born,
		})
		target := controls[seq%len(controls)]
		q, err := http.NewRequest(http.MethodPut, "http://"+target+"/citronstep/runners/i-other", bytes.NewReader(body))
		if err != nil {
			return
		}
		q.Header.Set("Content-Type", "application/json")
		if answer, err := operator.Do(q); err == nil {
			_ = answer.Body.Close()
			e.record.now("the other writer sends PUT /citronstep/runners/i-other %s and gets %d", body, answer.StatusCode)
		}
		select {
		case <-ticker.C:
		case <-done:
			return
		}
	}
}
