//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The configuration of the deployment: one plain service, behind a route for requests that may run once and one for
// requests that may run more often.
const (
	host    = "ficu95.example"
	service = "tankdesk"
	key     = "n2ctnfzs989anu6wsjnb"

	// shortTimeout is the time-out of the routes, callerTime how long clients wait at least.
	shortTimeout = 1200 * time.Millisecond
	callerTime   = 2500 * time.Millisecond
)

// configuration returns a configuration. timeout is that of the requests that may run more often.
func configuration(version int, timeout time.Duration) []byte {
	c := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "gauge", "host": host, "pathPrefix": "/gauge/", "routeKind": "non_idempotent", "timeoutMs": 1200,
				"sloMs": 150, "priority": 2, "service": service, "maxAttempts": 1, "public": false, "sticky": false,
			},
			map[string]any{
				"name": "strap", "host": host, "pathPrefix": "/strap/", "routeKind": "idempotent", "timeoutMs": timeout.Milliseconds(),
				"sloMs": 150, "priority": 2, "service": service, "maxAttempts": 2, "public": false, "sticky": false,
			},
		},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 48, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1}},
	}
	return encode(c)
}

// putConfiguration is the operator: it sends a configuration until it is acknowledged, and reports whether it was.
func putConfiguration(d *deployment, version int, limit time.Duration) bool {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		target := d.controlAddresses()[i%len(d.controls)]
		status, _ := call(http.MethodPut, "http://"+target+"/citronstep/config", configuration(version, d.timeout))
		d.record.add("operator", "put", "version", version, "to", target, "status", status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(min(time.Second, time.Duration(50+50*i)*time.Millisecond))
	}
	return false
}

// clients send requests to each entry at a low rate, at random times.
type clients struct {
	record *record
	// perSecond is the rate at each entry.
	perSecond float64
	// lookupsOnly leaves out the requests that may run once.
	lookupsOnly bool
	// deadline is how long they wait.
	deadline time.Duration
	cancel   context.CancelFunc
	wait     sync.WaitGroup
	sent     atomic.Int64
	answered atomic.Int64
	// denied counts the answers of 3xx and 4xx without a runner's signature, but for 408, 421 and 429.
	denied atomic.Int64
}

func startClients(d *deployment, perSecond float64, lookupsOnly bool) *clients {
	ctx, cancel := context.WithCancel(context.Background())
	c := &clients{record: d.record, perSecond: perSecond, lookupsOnly: lookupsOnly, deadline: max(callerTime, d.timeout), cancel: cancel}
	for _, p := range d.entries {
		c.wait.Go(func() { c.send(ctx, p) })
	}
	return c
}

func (c *clients) send(ctx context.Context, p *process) {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Timeout: c.deadline, Transport: transport}
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / c.perSecond * float64(time.Second))):
		}
		open.Go(func() { c.request(client, p) })
	}
}

func (c *clients) request(client *http.Client, p *process) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	n := c.sent.Add(1)
	method, path, body := http.MethodPost, "/gauge/2f", bytes.Repeat([]byte("b"), 600)
	if c.lookupsOnly || n%3 == 0 {
		method, path, body = http.MethodGet, "/strap/2f", nil
	}
	request, err := http.NewRequest(method, "http://"+p.ip+":"+portFront+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("X-Citronstep-Request-Id", id)
	request.Header.Set("X-Citronstep-Credential", key)
	request.Header.Set("X-Citronstep-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	c.record.add("client", "sends", "request", id, "to", p.name, "path", path)
	answer, err := client.Do(request)
	if err != nil {
		c.record.add("client", "gets_no_answer", "request", id, "err", fmt.Sprintf("%q", err))
		return
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	c.record.add("client", "gets", "request", id, "status", answer.StatusCode, "bytes", len(data), "whole", err == nil,
		"signature", answer.Header.Get("X-Citronstep-Response-Signature"), "server_leaving", answer.Header.Get("Server-Leaving"))
	isPromise := answer.StatusCode == http.StatusRequestTimeout || answer.StatusCode == http.StatusMisdirectedRequest || answer.StatusCode == http.StatusTooManyRequests
	isPromise = isPromise || answer.StatusCode == http.StatusServiceUnavailable
	if answer.StatusCode >= 300 && answer.StatusCode < 500 && !isPromise && answer.Header.Get("X-Citronstep-Response-Signature") == "" {
		c.denied.Add(1)
	}
	if answer.StatusCode == http.StatusOK && err == nil {
		c.answered.Add(1)
	}
}

func (c *clients) stop() {
	c.cancel()
	c.wait.Wait()
}
