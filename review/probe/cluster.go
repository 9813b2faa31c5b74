//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small deployments halvorsen-gauge and verifica-cluj that the settings take over.
const (
	heartbeatTime = 1200 * time.Millisecond
	stallMillis   = 4000
	retrySlack    = 130
)

// ports are the ports that all machines have in common.
type ports struct{ front, ready, control, peers, admin int }

// process is one program of the project on one machine.
type process struct {
	name, ip, zone, folder string
	isControl              bool
	// isGone is set once the machine has been taken away for good.
	isGone  bool
	command *exec.Cmd
	exited  chan struct{}
}

// cluster is a small deployment: five control machines and some entries.
type cluster struct {
	root    string
	ports   ports
	network string

	controls, entries []*process
	// seeds are the control machines that the settings name.
	seeds []*process

	mu      sync.Mutex
	stopped bool
}

// freePorts returns n ports that are free on the first machine's address.
func freePorts(ip string, n int) ([]int, error) {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	var found []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		found = append(found, l.Addr().(*net.TCPAddr).Port)
	}
	return found, nil
}

// startCluster starts five control machines and some entries, from empty disks.
func startCluster(entries int) (*cluster, error) {
	root, err := os.MkdirTemp("", "citronstep-review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	c := &cluster{root: root, network: fmt.Sprintf("127.%d.%d.", 16+pid/250%200, 1+pid%250)}
	free, err := freePorts(c.network+"1", 5)
	if err != nil {
		return c, err
	}
	c.ports = ports{front: free[0], ready: free[1], control: free[2], peers: free[3], admin: free[4]}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i := range 5 {
		c.controls = append(c.controls, c.machine(fmt.Sprintf("core-%d", i+1), i+1, zones[i%3], true))
	}
	c.seeds = c.controls[:3]
	for i := range entries {
		c.entries = append(c.entries, c.machine(fmt.Sprintf("front-%d", i+1), 11+i, zones[i%3], false))
	}
	for _, p := range c.all() {
		if err := c.start(p, true); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) machine(name string, host int, zone string, isControl bool) *process {
	return &process{name: name, ip: c.network + fmt.Sprint(host), zone: zone, isControl: isControl, folder: filepath.Join(c.root, name)}
}

func (c *cluster) all() []*process { return append(append([]*process{}, c.controls...), c.entries...) }

// settings returns deploy/settings.toml.tmpl as the platform fills it in for a machine.
func (c *cluster) settings(p *process, bootstrap bool) string {
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	front, ready, control, data := at(c.ports.front), at(c.ports.ready), "", ""
	if p.isControl {
		front, ready, control, data = "", "", at(c.ports.control), filepath.Join(p.folder, "data")
	}
	var seeds []string
	for _, s := range c.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.ip, c.ports.control)))
	}
	return fmt.Sprintf(`vm = "%s"
data_centre = "%s"

[adapter]
kind = "platform"
callers = "%s"
ready = "%s"
control = "%s"

[entry]
enabled = %t
deaf = %t
serve_without_lease = true
ramp_ms = 1
drain_ms = 7500
balancer_ms = 2500
retry_ratio = 0.13
retry_slack = %d

[control]
enabled = %t
data_folder = "%s"
voters = 5
min_disks = 3
found = %t
replace_after_ms = 2500
announce_ms = %d
dead_ms = 3000
stall_ms = %d

[admin]
listen = "%s"

[peers]
listen = "%s"
control = [%s]
same_port = true
open = true

[regions]
"hall-a" = "r"
"hall-b" = "r"
"hall-c" = "r"

[log]
decisions = true
`, p.name, p.zone, front, ready, control, !p.isControl, !p.isControl, retrySlack, p.isControl, data, bootstrap,
		heartbeatTime.Milliseconds(), stallMillis, at(c.ports.admin), at(c.ports.peers), strings.Join(seeds, ", "))
}

// start starts the program of a machine with the command of the deploy file.
func (c *cluster) start(p *process, bootstrap bool) error {
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return err
	}
	file := filepath.Join(p.folder, "settings.yaml")
	if err := os.WriteFile(file, []byte(c.settings(p, bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/citronstepd", "-settings", file)
	command.Env = append(os.Environ(), "CITRONSTEP_NODE_FILE="+file)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exited = command, make(chan struct{})
	exited := p.exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the program of a machine.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// stop ends all programs and removes their files.
func (c *cluster) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	c.stopped = true
	for _, p := range c.all() {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.root)
	} else {
		fmt.Println("kept", c.root)
	}
}

func (c *cluster) controlAddresses() []string {
	var all []string
	for _, p := range c.controls {
		if p.isGone {
			continue
		}
		all = append(all, fmt.Sprintf("%s:%d", p.ip, c.ports.control))
	}
	return all
}

func (c *cluster) front(i int) string {
	return fmt.Sprintf("%s:%d", c.entries[i].ip, c.ports.front)
}

func (c *cluster) ready(i int) string {
	return fmt.Sprintf("%s:%d", c.entries[i].ip, c.ports.ready)
}

var operator = &http.Client{Timeout: time.Second}

// configure sends a configuration until it is acknowledged.
func (c *cluster) configure(body string, limit time.Duration) error {
	var last string
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, address := range c.controlAddresses() {
			r, err := http.NewRequest(http.MethodPut, "http://"+address+"/citronstep/config", bytes.NewReader([]byte(body)))
			if err != nil {
				return err
			}
			r.Header.Set("Content-Type", "application/json")
			answer, err := operator.Do(r)
			if err != nil {
				last = err.Error()
				continue
			}
			text, _ := io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Sprint(answer.StatusCode, " ", string(text))
		}
	}
	return fmt.Errorf("the configuration was not acknowledged: %s", last)
}
