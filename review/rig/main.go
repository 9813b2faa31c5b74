//go:build review

// Command review-rig plays the cases of the second review: it starts the processes of a small deployment with the
// command of the deploy file, and is their platform, operator, clients and runners.
//
//	review-rig CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Bounds of the deployment, and the limits that its pages set for the disruptions of the cases.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	ackTime     = 4 * time.Second
	garbleTime  = 5 * time.Second
	// clockMargin is taken off what counts as late, for the time between an event and its record.
	clockMargin = 100 * time.Millisecond
	// caseLimit ends a case that hangs.
	caseLimit = 115 * time.Second
)

// cases are the cases by name. Each returns what broke the rule.
var cases = map[string]func(r *record, trouble bool) []string{
	"additional-bytes":        additionalBytesOfARunner,
	"goodbye-of-a-later-life": goodbyeOfALaterLife,
	"heads-without-end":       headsWithoutEnd,
	"loss-at-the-first-start": lossAtTheFirstStart,
}

// maxPrinted bounds what is printed of that; the record holds all.
const maxPrinted = 10

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		couldNotRun("usage: review-rig CASE RECORD")
	}
	time.AfterFunc(caseLimit, func() { couldNotRun("it did not end within %v", caseLimit) })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		couldNotRun("interrupted")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRecord(os.Args[2])
	r.add("case", "begins", "name", os.Args[1], "trouble", trouble)
	broken := cases[os.Args[1]](r, trouble)
	for i, b := range broken {
		r.add("case", "rule_broken", "what", fmt.Sprintf("%q", b))
		if i < maxPrinted {
			fmt.Println("rule broken:", b)
		}
	}
	r.add("case", "ends", "broken", len(broken))
	r.close()
	if len(broken) > 0 {
		fmt.Println("times broken:", len(broken))
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
