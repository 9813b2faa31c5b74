//go:build review

// Command probe runs one case of the review: it starts a small deployment of the project's programs with
// stand-ins of runners, clients and the operator, and checks one rule.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxTime is how long a case may run.
const maxTime = 110 * time.Second

// recorder writes the record of a case.
type recorder struct {
	began time.Time
	mu    sync.Mutex
	lines []line
}

type line struct {
	at   time.Time
	text string
}

// add records what happened at a time.
func (r *recorder) add(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, values...)})
}

func (r *recorder) now(format string, values ...any) { r.add(time.Now(), format, values...) }

func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at.Before(r.lines[j].at) })
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, l := range r.lines {
		fmt.Fprintf(w, "%9.3f %s\n", l.at.Sub(r.began).Seconds(), l.text)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}

// environment is what a case works with.
type environment struct {
	cluster *cluster
	record  *recorder
	// trouble is unset if the case is to run without its disruption.
	trouble bool
	runners []*runner
}

// newRunner starts a runner.
func (e *environment) newRunner(r *runner) error {
	r.controls = e.cluster.controlAddresses()
	if err := r.start(); err != nil {
		return err
	}
	e.runners = append(e.runners, r)
	return nil
}

// scenario runs a case. It reports whether the rule held, and an error if the case could not run.
type scenario struct {
	entries int
	run     func(e *environment) (held bool, err error)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: probe CASE RECORD")
		os.Exit(exitCannotRun)
	}
	s, known := scenarios[os.Args[1]]
	if !known {
		fmt.Println("no such case")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(s, os.Args[2]))
}

func play(s scenario, recordPath string) int {
	c, err := startCluster(s.entries)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		fmt.Println(err)
		return exitCannotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
			fmt.Println("out of time")
		}
		c.stop()
		os.Exit(exitCannotRun)
	}()
	e := &environment{cluster: c, record: &recorder{began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	held, err := s.run(e)
	for _, r := range e.runners {
		r.stop()
	}
	if writeErr := e.record.write(recordPath); writeErr != nil {
		fmt.Println(writeErr)
		return exitCannotRun
	}
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		return exitCannotRun
	case !held:
		return exitBroken
	}
	return exitHeld
}
