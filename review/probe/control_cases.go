//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// readBackTime is how long the operator reads the configuration back: recoveryS and contactMs.
	readBackTime = 15 * time.Second
	// successorTime is how long after its start a successor is left alone: over three times catchupS.
	successorTime = 14 * time.Second
)

// readConfiguration reads the configuration from one machine, which may send the reader on to another. It returns
// version 0 if none came.
func (c *cluster) readConfiguration(p *process) (version uint64, answeredBy string) {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/citronstep/config", p.ip, c.ports.control), nil)
	if err != nil {
		return 0, ""
	}
	answer, err := operator.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK {
		return 0, fmt.Sprint("status ", answer.StatusCode)
	}
	var held struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &held); err != nil {
		return 0, err.Error()
	}
	return held.Version, answer.Request.URL.Host
}

// leader returns the control machine that leads.
func (c *cluster) leader(live []*process) *process {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range live {
			_, host := c.readConfiguration(p)
			for _, q := range live {
				if host == fmt.Sprintf("%s:%d", q.ip, c.ports.control) {
					return q
				}
			}
		}
	}
	return nil
}

// followers returns the machines that don't lead.
func followers(live []*process, leader *process) []*process {
	var list []*process
	for _, p := range live {
		if p != leader {
			list = append(list, p)
		}
	}
	return list
}

func without(live []*process, gone ...*process) []*process {
	var list []*process
next:
	for _, p := range live {
		for _, g := range gone {
			if p == g {
				continue next
			}
		}
		list = append(list, p)
	}
	return list
}

// addControl starts a new control machine with an empty disk. Its seeds are three live machines.
func (e *environment) addControl(host int, zone string, live []*process) (*process, error) {
	c := e.cluster
	p := c.machine(fmt.Sprintf("core-%d", host), host, zone, true)
	c.seeds = live[:3]
	c.controls = append(c.controls, p)
	if err := c.start(p, false); err != nil {
		return nil, err
	}
	e.record.now("control machine %s starts, with an empty disk, at %s, in the place of another", p.name, p.ip)
	return p, nil
}

// gone ends a machine that does not come back.
func (e *environment) gone(p *process, s syscall.Signal) {
	e.record.now("control machine %s gets %s and is gone for good", p.name, s)
	p.signal(s)
	<-p.exited
	p.isGone = true
}

// finalFault makes all control machines lose their processes right after an acknowledgement, and two of them their disks,
// and reports whether the configuration of that version is read back.
func (e *environment) finalFault(live, wiped []*process, version int, routes ...string) (bool, error) {
	c := e.cluster
	if err := c.configure(configurationText(version, routes...), 10*time.Second); err != nil {
		return false, err
	}
	e.record.now("version %d is acknowledged", version)
	for _, p := range live {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range live {
		<-p.exited
	}
	e.record.now("all control machines are killed")
	for _, p := range wiped {
		if err := os.RemoveAll(filepath.Join(p.folder, "data")); err != nil {
			return false, err
		}
		e.record.now("control machine %s loses its disk", p.name)
	}
	time.Sleep(1500 * time.Millisecond)
	c.seeds = live[:3]
	for _, p := range live {
		if err := c.start(p, false); err != nil {
			return false, err
		}
	}
	e.record.now("all control machines are back")
	for end := time.Now().Add(readBackTime); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, p := range live {
			got, from := c.readConfiguration(p)
			switch {
			case got == uint64(version):
				e.record.now("%s returns version %d", from, got)
				fmt.Printf("version %d is read back\n", version)
				return true, nil
			case got != 0:
				e.record.now("%s returns version %d", from, got)
				fmt.Printf("version %d is read back, not %d\n", got, version)
				return false, nil
			}
			e.record.now("%s returns no configuration: %s", p.name, from)
		}
	}
	fmt.Printf("version %d is not read back within %s\n", version, readBackTime)
	return false, nil
}

// lostPair: two control machines are lost for good at the same moment, and two empty ones take their places. Much later,
// right after an acknowledgement, all control machines are killed and two lose their disks.
func lostPair(e *environment) (bool, error) {
	c := e.cluster
	routes := []string{routeText("many", manyPrefix, "idempotent", 2)}
	if err := c.configure(configurationText(1, routes...), waitForServe); err != nil {
		return false, err
	}
	e.record.now("version 1 is acknowledged")
	time.Sleep(3 * time.Second)
	live := append([]*process{}, c.controls...)
	if e.trouble {
		lost := live[3:5]
		for _, p := range lost {
			e.gone(p, syscall.SIGKILL)
		}
		live = without(live, lost...)
		time.Sleep(time.Second)
		for i, p := range lost {
			successor, err := e.addControl(6+i, p.zone, live)
			if err != nil {
				return false, err
			}
			live = append(live, successor)
		}
	}
	time.Sleep(successorTime)
	return e.finalFault(live, live[:2], 7, routes...)
}

// pauseBesideLostDisk: a control machine stands still for some seconds, while another one comes back with an empty disk.
// Much later, right after an acknowledgement, all control machines are killed and two lose their disks.
func pauseBesideLostDisk(e *environment) (bool, error) {
	c := e.cluster
	routes := []string{routeText("many", manyPrefix, "idempotent", 2)}
	if err := c.configure(configurationText(1, routes...), waitForServe); err != nil {
		return false, err
	}
	e.record.now("version 1 is acknowledged")
	time.Sleep(3 * time.Second)
	live := c.controls
	leader := c.leader(live)
	if leader == nil {
		return false, fmt.Errorf("no control machine leads")
	}
	e.record.now("%s leads", leader.name)
	others := followers(live, leader)
	empty, still := others[0], others[1]
	if e.trouble {
		if err := e.loseDiskBesidePause(empty, still); err != nil {
			return false, err
		}
	}
	time.Sleep(successorTime)
	return e.finalFault(live, without(live, still)[:2], 7, routes...)
}

// The lengths of the two disruptions of pauseBesideLostDisk.
const (
	pauseTime    = 4500 * time.Millisecond
	lostDiskTime = 3 * time.Second
)

func (e *environment) loseDiskBesidePause(empty, still *process) error {
	still.signal(syscall.SIGSTOP)
	began := time.Now()
	e.record.now("control machine %s stands still", still.name)
	time.Sleep(500 * time.Millisecond)
	empty.signal(syscall.SIGKILL)
	<-empty.exited
	if err := os.RemoveAll(filepath.Join(empty.folder, "data")); err != nil {
		return err
	}
	e.record.now("control machine %s is killed and loses its disk", empty.name)
	time.Sleep(lostDiskTime)
	if err := e.cluster.start(empty, false); err != nil {
		return err
	}
	e.record.now("control machine %s is back, with an empty disk", empty.name)
	time.Sleep(time.Until(began.Add(pauseTime)))
	still.signal(syscall.SIGCONT)
	e.record.now("control machine %s goes on", still.name)
	return nil
}
