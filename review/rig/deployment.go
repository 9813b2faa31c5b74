//go:build review

package main

import (
	"fmt"
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

// Ports of the deployment. Each process has a loopback address of its own, so all may use the same ports.
const (
	portFront   = "8227"
	portReady   = "8220"
	portControl = "8229"
	portPeers   = "7340"
	portAdmin   = "7343"
)

// zones are those of a small deployment, in its only region.
var zones = []string{"anacortes", "ferndale", "tacoma"}

// process is one citronstepd of the deployment and the machine that it runs on.
type process struct {
	name, ip, zone string
	isControl      bool
	folder         string

	mu  sync.Mutex
	cmd *exec.Cmd
	// wanted is set while the platform starts the process again after it has ended.
	wanted bool
}

// deployment is the platform: it starts the processes with the command of the deploy file, and starts them again.
type deployment struct {
	record   *record
	folder   string
	seeds    []string
	controls []*process
	entries  []*process
	// base is the beginning of the machines' addresses.
	base string
	// lost holds the machines that are gone.
	lost []*process
	// timeout is the time-out of the requests that may run more often.
	timeout time.Duration
	// restartDelay is the time from the end of a process to its next start.
	restartDelay time.Duration
	wait         sync.WaitGroup
}

// newDeployment chooses addresses of the loopback network whose ports are free.
func newDeployment(r *record, controls, entries int) *deployment {
	folder, err := os.MkdirTemp("", "citronstep-review-")
	if err != nil {
		couldNotRun("no temporary folder: %v", err)
	}
	removeAtExit(folder)
	d := &deployment{record: r, folder: folder, timeout: shortTimeout, restartDelay: 500 * time.Millisecond}
	// One more address is for the successor of a machine.
	d.base = freeNetwork(controls + entries + 1)
	for i := range controls + entries {
		zone := zones[i%len(zones)]
		if i < controls {
			d.controls = append(d.controls, d.newProcess(i, zone, true, fmt.Sprintf("core-%s-%d", zone, i/len(zones)+1)))
		} else {
			d.entries = append(d.entries, d.newProcess(i, zone, false, fmt.Sprintf("front-%s-%d", zone, i-controls+1)))
		}
	}
	for _, p := range d.controls[:min(3, controls)] {
		d.seeds = append(d.seeds, fmt.Sprintf("%q", p.ip+":"+portControl))
	}
	return d
}

// newProcess returns the process of machine i, with a folder of its own.
func (d *deployment) newProcess(i int, zone string, isControl bool, name string) *process {
	p := &process{name: name, ip: fmt.Sprintf("%s.%d", d.base, 10+i), zone: zone, isControl: isControl, folder: filepath.Join(d.folder, name)}
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		couldNotRun("%v", err)
	}
	return p
}

// freeNetwork returns the first three numbers of loopback addresses at which the ports are free.
func freeNetwork(machines int) string {
	for i := range 200 {
		base := fmt.Sprintf("127.%d.%d", 40+(os.Getpid()+i)%200, 1+i%250)
		if isFree(base, machines) {
			return base
		}
	}
	couldNotRun("no free ports")
	return ""
}

func isFree(base string, machines int) bool {
	for i := range machines {
		for _, port := range []string{portFront, portReady, portControl, portPeers, portAdmin} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", base, 10+i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settings returns what deploy/settings.toml.tmpl gives for a machine. bootstrap is true at the first start alone.
func (d *deployment) settings(p *process, bootstrap bool) string {
	front, ready, control, data := p.ip+":"+portFront, p.ip+":"+portReady, "", ""
	if p.isControl {
		front, ready, control, data = "", "", p.ip+":"+portControl, filepath.Join(p.folder, "data")
	}
	var regions strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&regions, "%q = \"cascadia\"\n", z)
	}
	return fmt.Sprintf(`vm = %q
data_centre = %q

[adapter]
kind = "platform"
callers = %q
ready = %q
control = %q

[entry]
enabled = %t
deaf = %t
serve_without_lease = true
ramp_ms = 1
drain_ms = 7500
balancer_ms = 2500
retry_ratio = 0.13
retry_slack = 130

[control]
enabled = %t
data_folder = %q
voters = 5
min_disks = 3
found = %t
replace_after_ms = 2500
announce_ms = 1200
dead_ms = 3000
stall_ms = 4000

[limits]
process_memory_mb = 284

[admin]
listen = %q

[peers]
listen = %q
control = [%s]
same_port = true
open = true

[regions]
%s
[log]
decisions = true
`, p.name, p.zone, front, ready, control, !p.isControl, !p.isControl, p.isControl, data, bootstrap,
		p.ip+":"+portAdmin, p.ip+":"+portPeers, strings.Join(d.seeds, ", "), regions.String())
}

// startAll starts all processes of the system for the first time.
func (d *deployment) startAll() {
	for _, p := range append(append([]*process{}, d.controls...), d.entries...) {
		d.start(p, true)
	}
}

// lose takes a machine away for good: its process is killed and does not start again.
func (d *deployment) lose(p *process) {
	p.mu.Lock()
	p.wanted = false
	_ = p.cmd.Process.Kill()
	p.mu.Unlock()
	d.lost = append(d.lost, p)
	d.record.add("platform", "loses", "machine", p.name)
}

// replace adds an empty machine of the core at another address, in place of control process i.
func (d *deployment) replace(i int) {
	old := d.controls[i]
	p := d.newProcess(len(d.controls)+len(d.entries)+len(d.lost)-1, old.zone, true, old.name+"-successor")
	d.controls[i] = p
	d.start(p, false)
}

// start starts a process with the settings in effect, and again whenever it ends while it is wanted.
func (d *deployment) start(p *process, bootstrap bool) {
	file := filepath.Join(p.folder, "settings.toml")
	if err := os.WriteFile(file, []byte(d.settings(p, bootstrap)), 0o600); err != nil {
		couldNotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		couldNotRun("%v", err)
	}
	cmd := exec.Command("target/citronstepd", "-settings", file)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.folder, "CITRONSTEP_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.mu.Lock()
	p.wanted = true
	if err := cmd.Start(); err != nil {
		couldNotRun("target/citronstepd does not start: %v", err)
	}
	p.cmd = cmd
	p.mu.Unlock()
	d.record.add("platform", "start", "machine", p.name, "bootstrap", bootstrap)
	d.wait.Go(func() {
		err := cmd.Wait()
		_ = log.Close()
		d.record.add("platform", "ended", "machine", p.name, "how", fmt.Sprint(err))
		time.Sleep(d.restartDelay)
		p.mu.Lock()
		again := p.wanted
		p.mu.Unlock()
		if again {
			d.start(p, false)
		}
	})
}

// stop ends all processes, waits for their ends and removes their files.
func (d *deployment) stop() {
	d.kill()
	d.wait.Wait()
	_ = os.RemoveAll(d.folder)
}

// kill ends all processes.
func (d *deployment) kill() {
	for _, p := range append(append([]*process{}, d.controls...), d.entries...) {
		p.mu.Lock()
		p.wanted = false
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
}

// controlAddresses returns the addresses at which the control processes serve runners and operators.
func (d *deployment) controlAddresses() []string {
	var list []string
	for _, p := range d.controls {
		list = append(list, p.ip+":"+portControl)
	}
	return list
}

// awaitReady waits until all entries answer the balancer's question with 200.
func (d *deployment) awaitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, p := range d.entries {
			answer, err := client.Get("http://" + p.ip + ":" + portReady + "/citronstep/ready")
			if err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.entries) {
			return
		}
	}
	couldNotRun("the entries are not ready within %v", limit)
}
