//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const heartbeatInterval = 1200 * time.Millisecond

// arrival is one request that has reached a runner and was not answered with 421.
type arrival struct {
	id, runner string
	at         time.Time
}

// runner is one runner of a plain service. It may start again under its id, at another address.
type runner struct {
	record   *record
	id       string
	service  string
	zone     string
	host     string
	controls []string
	work     time.Duration
	// wrap, if it is not nil, changes the listener and the server of each life.
	wrap func(net.Listener, *http.Server) net.Listener

	mu       sync.Mutex
	address  string
	born     int64
	seq      uint64
	leaving  bool
	beatAddr string
	server   *http.Server
	stop     chan struct{}
	arrivals []arrival
	// lastBeat is when the last heartbeat was acknowledged.
	lastBeat time.Time
}

// listen listens at a free port.
func listen(host string) net.Listener {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		couldNotRun("%v", err)
	}
	return l
}

// encode returns a value as JSON.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		couldNotRun("%v", err)
	}
	return data
}

// start begins a life of the runner: it listens at a new address, knows nothing of before, and sends heartbeats.
func (r *runner) start() {
	l := listen(r.host)
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	r.mu.Lock()
	r.address, r.born, r.seq, r.leaving, r.beatAddr = l.Addr().String(), time.Now().UnixMilli(), 0, false, ""
	r.server, r.stop = server, make(chan struct{})
	stop := r.stop
	r.mu.Unlock()
	r.record.add(r.id, "runner_starts", "address", l.Addr(), "born", r.born)
	if r.wrap != nil {
		l = r.wrap(l, server)
	}
	go func() { _ = server.Serve(l) }()
	go r.beat(stop)
}

// end ends a life of the runner, as a crash does, or the exit after a goodbye.
func (r *runner) end() {
	r.mu.Lock()
	server := r.server
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	r.mu.Unlock()
	_ = server.Close()
	r.record.add(r.id, "runner_ends")
}

// beat sends heartbeats until the life ends or the runner has said goodbye.
func (r *runner) beat(stop chan struct{}) {
	for {
		r.mu.Lock()
		leaving := r.leaving
		r.mu.Unlock()
		if !leaving {
			r.sendHeartbeat()
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (r *runner) targets() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.beatAddr == "" {
		return r.controls
	}
	return append([]string{r.beatAddr}, r.controls...)
}

func (r *runner) sendHeartbeat() {
	r.mu.Lock()
	r.seq++
	body := encode(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldLeftMs": 0, "seq": r.seq, "born": r.born,
	})
	r.mu.Unlock()
	for _, target := range r.targets() {
		status, answer := call(http.MethodPut, "http://"+target+"/citronstep/runners/"+r.id, body)
		if status/100 != 2 {
			r.mu.Lock()
			r.beatAddr = ""
			r.mu.Unlock()
			continue
		}
		var reply struct {
			BeatAddr string `json:"beatAddr"`
		}
		_ = json.Unmarshal(answer, &reply)
		r.mu.Lock()
		r.beatAddr, r.lastBeat = reply.BeatAddr, time.Now()
		r.mu.Unlock()
		return
	}
	r.record.add(r.id, "heartbeat_not_acknowledged")
}

// leave says goodbye with DELETE, without a word before, and goes on serving until end. It returns the address that
// has acknowledged the goodbye, and when; "" if none did.
func (r *runner) leave() (acknowledgedBy string, at time.Time) {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	for _, target := range r.targets() {
		r.record.add(r.id, "goodbye_sent", "to", target)
		status, _ := call(http.MethodDelete, "http://"+target+"/citronstep/runners/"+r.id, nil)
		if status/100 == 2 {
			at = time.Now()
			r.record.add(r.id, "goodbye_acknowledged", "by", target)
			return target, at
		}
	}
	return "", at
}

// call makes a call to the control API and returns its status, 0 without an answer in time.
func call(method, url string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, data
}

func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	h := w.Header()
	h.Set("X-Citronstep-Instance-Id", r.id)
	h.Set("X-Citronstep-Server-Load", "1,0,6")
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	id := request.Header.Get("X-Citronstep-Request-Id")
	if want := request.Header.Get("X-Citronstep-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/health" {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id == "" {
		h.Set("X-Citronstep-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id: id, runner: r.id, at: time.Now()})
	r.mu.Unlock()
	r.record.add(r.id, "runs", "request", id, "leaving", leaving)
	_, _ = io.Copy(io.Discard, request.Body)
	time.Sleep(r.work)
	h.Set("X-Citronstep-Request-Id", id)
	h.Set("X-Citronstep-Response-Signature", "sig-"+r.id+"-"+id)
	h.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprint(w, "answer to "+id+" "+strings.Repeat("x", 800))
}

// arrivalsSince returns the requests that reached the runner after a time.
func (r *runner) arrivalsSince(t time.Time) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []arrival
	for _, a := range r.arrivals {
		if a.at.After(t) {
			list = append(list, a)
		}
	}
	return list
}
