//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryLimit is memoryMb of an entry's machine.
const memoryLimit = 284 << 20

// headBytes is what the head of an answer has at once: less than 64 KiB.
const headBytes = 60 << 10

// headPause is the time between the further lines of a head without end.
const headPause = 200 * time.Millisecond

// shortLines returns about n bytes of short header lines, no two of the same name.
func shortLines(n int) string {
	const chars = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", chars[i/len(chars)/len(chars)%len(chars)], chars[i/len(chars)%len(chars)], chars[i%len(chars)])
	}
	return b.String()
}

// headWithoutEnd makes a runner answer each request with a head that never ends, while inTrouble returns true. It sends
// on until the caller closes.
func headWithoutEnd(x *runner, inTrouble func() bool) func(net.Listener, *http.Server) net.Listener {
	lines := shortLines(headBytes)
	return func(l net.Listener, server *http.Server) net.Listener {
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			id := request.Header.Get("X-Citronstep-Request-Id")
			if !inTrouble() || id == "" {
				x.serve(w, request)
				return
			}
			x.record.add(x.id, "begins_a_head", "request", id)
			conn, buffered, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			sendHead(conn, buffered, lines)
			x.record.add(x.id, "caller_closed", "request", id)
		})
		return l
	}
}

func sendHead(conn net.Conn, buffered *bufio.ReadWriter, lines string) {
	defer func() { _ = conn.Close() }()
	gone := make(chan struct{})
	go func() {
		_, _ = buffered.ReadByte()
		close(gone)
	}()
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + lines))
	for i := 0; ; i++ {
		select {
		case <-gone:
			return
		case <-time.After(headPause):
		}
		if _, err := fmt.Fprintf(conn, "x-%d:\r\n", i); err != nil {
			return
		}
	}
}

// memoryGuard is the part of the platform that kills a process which uses more than its machine's memory.
type memoryGuard struct {
	d *deployment

	mu sync.Mutex
	// kills counts them by machine, most is the most memory that each has used, in bytes.
	kills map[string]int
	most  map[string]int64
}

func startMemoryGuard(d *deployment) *memoryGuard {
	g := &memoryGuard{d: d, kills: make(map[string]int), most: make(map[string]int64)}
	for _, p := range d.entries {
		go g.watch(p)
	}
	return g
}

func (g *memoryGuard) watch(p *process) {
	for ; ; time.Sleep(100 * time.Millisecond) {
		pid := p.pid()
		used := residentBytes(pid)
		g.mu.Lock()
		g.most[p.name] = max(g.most[p.name], used)
		g.mu.Unlock()
		if used <= memoryLimit {
			continue
		}
		g.d.record.add("platform", "over_memory", "machine", p.name, "bytes", used)
		g.mu.Lock()
		g.kills[p.name]++
		g.mu.Unlock()
		_ = syscall.Kill(pid, syscall.SIGKILL)
		for p.pid() == pid {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// pid returns the id of the process on a machine.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// residentBytes returns the memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// headsWithoutEnd: three times, the runners of one service answer with heads of many short lines that never end, 60 KiB at
// once and then a line each 0.2 s. The rule Fault is broken if processes on two machines end three times each, as they
// use more memory than their machine has.
func headsWithoutEnd(r *record, trouble bool) []string {
	const (
		entries     = 3
		runnerCount = 12
		rate        = 55
		rounds      = 3
		troubleTime = 10 * time.Second
		calmTime    = 12 * time.Second
		endsAllowed = 3
	)
	var isInTrouble atomic.Bool
	d := newDeployment(r, controlCount, entries)
	d.timeout = 8 * time.Second
	d, _ = startServiceOn(d, runnerCount, func(_ int, x *runner) { x.wrap = headWithoutEnd(x, isInTrouble.Load) })
	defer d.stop()
	g := startMemoryGuard(d)
	c := startClients(d, rate, true)
	time.Sleep(3 * time.Second)
	for range rounds {
		isInTrouble.Store(trouble)
		r.add("case", "trouble", "is", trouble)
		time.Sleep(troubleTime)
		isInTrouble.Store(false)
		r.add("case", "calm")
		time.Sleep(calmTime)
	}
	c.stop()
	return g.brokenIfEnded(endsAllowed)
}

// brokenIfEnded applies the rule Fault: processes end on fewer than two machines as often as that.
func (g *memoryGuard) brokenIfEnded(times int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	machines := 0
	var told []string
	for _, p := range g.d.entries {
		g.d.record.add("platform", "memory", "machine", p.name, "most_bytes", g.most[p.name], "ends", g.kills[p.name])
		told = append(told, fmt.Sprintf("%s %d", p.name, g.kills[p.name]))
		if g.kills[p.name] >= times {
			machines++
		}
	}
	if machines < 2 {
		return nil
	}
	return []string{"processes ended as they used more than 284 MiB: " + strings.Join(told, ", ")}
}
