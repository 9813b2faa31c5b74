//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is one request that reached a runner.
type arrival struct {
	at                             time.Time
	id, method, target, host, body string
	header                         http.Header
	// number counts the requests of the connection, from 1.
	number int
	conn   net.Conn
}

// runner is a stand-in of one plain runner: it answers as a sound one, or as respond does.
type runner struct {
	id, service, zone string
	controls          []string
	// respond writes the answer to a request. It returns false if the connection is to be closed.
	respond func(r *runner, a arrival) bool

	address string
	listen  net.Listener
	cancel  context.CancelFunc
	born    int64
	// open holds the open connections.
	open sync.Map

	mu       sync.Mutex
	seq      uint64
	beatAddr string
	running  int
}

// slots is how many requests a runner runs at once.
const slots = 6

func (r *runner) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.listen, r.address, r.cancel, r.born = l, l.Addr().String(), cancel, time.Now().UnixMilli()
	go r.accept()
	go r.beat(ctx)
	return nil
}

// stop ends the runner, as a crash does: its listener and its connections close.
func (r *runner) stop() {
	r.cancel()
	_ = r.listen.Close()
	r.open.Range(func(c, _ any) bool {
		_ = c.(net.Conn).Close()
		return true
	})
}

// restart starts the runner again under its id, as one that knows nothing of before.
func (r *runner) restart() error {
	r.mu.Lock()
	r.seq, r.beatAddr = 0, ""
	r.mu.Unlock()
	return r.start()
}

// leave deregisters the runner and ends its heartbeats. It returns when the call was acknowledged.
func (r *runner) leave() (time.Time, error) {
	r.cancel()
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		for _, target := range r.controls {
			q, err := http.NewRequest(http.MethodDelete, "http://"+target+"/citronstep/runners/"+r.id, nil)
			if err != nil {
				return time.Time{}, err
			}
			answer, err := client.Do(q)
			if err != nil {
				continue
			}
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return time.Now(), nil
			}
		}
	}
	return time.Time{}, errors.New("no machine acknowledged that the runner leaves")
}

func (r *runner) accept() {
	for {
		c, err := r.listen.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve answers the requests of one connection, one at a time.
func (r *runner) serve(c net.Conn) {
	r.open.Store(c, nil)
	defer func() {
		r.open.Delete(c)
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for number := 1; ; number++ {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		a := arrival{
			at: time.Now(), id: q.Header.Get("X-Citronstep-Request-Id"), method: q.Method, target: q.RequestURI, host: q.Host,
			body: string(body), header: q.Header, number: number, conn: c,
		}
		if q.URL.Path == "/health" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Citronstep-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		if want := a.header.Get("X-Citronstep-Expect-Instance"); want != "" && want != r.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Citronstep-Request-Id: %s\r\nX-Citronstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", a.id)
			continue
		}
		respond := r.respond
		if respond == nil {
			respond = answerSoundly
		}
		if !respond(r, a) {
			return
		}
	}
}

// signature is the proof of a runner for a request.
func (r *runner) signature(a arrival) string { return "sig." + r.id + "." + a.id }

// wholeBody is the body of the sound answer to a request.
func wholeBody(id string) string { return "answer to " + id }

// answerSoundly runs a request and answers it.
func answerSoundly(r *runner, a arrival) bool {
	return r.answer(a, "200 OK", wholeBody(a.id))
}

// answer writes a signed answer with a status.
func (r *runner) answer(a arrival, status, body string) bool {
	_, err := fmt.Fprintf(a.conn, "HTTP/1.1 %s\r\nX-Citronstep-Request-Id: %s\r\nX-Citronstep-Response-Signature: %s\r\n"+
		"X-Citronstep-Server-Load: 1,0,%d\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", status, a.id, r.signature(a), slots, len(body), body)
	return err == nil
}

// beat sends heartbeats until the context ends.
func (r *runner) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for {
		r.sendBeat(client)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *runner) sendBeat(client *http.Client) {
	r.mu.Lock()
	r.seq++
	body, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": slots, "state": "ready",
		"coldLeftMs": 0, "seq": r.seq, "born": r.born,
	})
	targets := append([]string{}, r.controls...)
	if r.beatAddr != "" {
		targets = append([]string{r.beatAddr}, targets...)
	}
	r.mu.Unlock()
	for _, target := range targets {
		if r.putBeat(client, target, body) {
			return
		}
	}
}

func (r *runner) putBeat(client *http.Client, target string, body []byte) bool {
	q, err := http.NewRequest(http.MethodPut, "http://"+target+"/citronstep/runners/"+r.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	q.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(q)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	var reply struct {
		BeatAddr string `json:"beatAddr"`
	}
	_ = json.NewDecoder(answer.Body).Decode(&reply)
	if answer.StatusCode != http.StatusOK {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beatAddr = reply.BeatAddr
	return true
}
