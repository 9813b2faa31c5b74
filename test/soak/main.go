// Command soak runs a complete system of real processes under seeded faults. Callers resend their
// requests, and soak checks every answer.
//
//	go run ./test/soak -seed 1 -duration 30s
//	go run ./test/soak -seed 1 -runs 20 -duration 1m
//
// It exits with status 1 if a run has found a violation or has failed.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/citronstep/citronstep/test/process/harness"
	"github.com/citronstep/citronstep/test/workload"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the first run")
	runs := flag.Int("runs", 1, "number of runs, each with the next seed")
	duration := flag.Duration("duration", 30*time.Second, "how long faults happen in each run")
	callers := flag.Int("callers", 8, "number of callers")
	overlap := flag.Int("overlap", 2, "number of faults that are active at once")
	groups := flag.Int("groups", 3, "number of serving groups, of two engines each")
	limits := flag.Bool("rate-limits", false, "backend servers also announce rate limits")
	broken := flag.Bool("broken-answers", false, "backend servers also send answers that follow no protocol")
	backoffs := flag.Bool("backoffs", false, "backend servers also refuse requests and ask for back-offs")
	crashes := flag.Bool("crashes", false, "callers also resend requests that crash each backend server that runs them")
	showLogs := flag.Bool("logs", false, "print the end of each process's log when a run fails")
	flag.Parse()
	status := 0
	for i := range *runs {
		o := workload.Options{
			Seed: *seed + uint64(i), Duration: *duration, Callers: *callers, ConcurrentFaults: *overlap, Groups: *groups,
			RateLimits: *limits, BrokenAnswers: *broken, Backoffs: *backoffs, Crashes: *crashes,
		}
		if !runOnce(o, *showLogs) {
			status = 1
		}
	}
	harness.RemovePrograms()
	os.Exit(status)
}

// runOnce makes one run, prints its result and reports whether it passed.
func runOnce(o workload.Options, showLogs bool) bool {
	t := &runner{showLogs: showLogs}
	report := t.run(func() workload.Report { return workload.Run(t, o) })
	fmt.Printf("seed %d: %d works, %d sends: %d whole, %d not run, %d unknown, %d lost; %d runs; %d faults; %d broken answers found; %d rate limits taken in; %d back-offs taken in, %d checked; %d crashes in %d sends; %d violations\n",
		o.Seed, report.Works, report.Sends, report.Complete, report.NotRun, report.Unknown, report.Unanswered,
		report.Runs, len(report.Faults), report.Unreadable, report.RateLimitsRecorded,
		report.BackoffsRecorded, report.BackoffsChecked, report.Crashes, report.CrashingSends, len(report.Violations))
	for _, v := range report.Violations {
		fmt.Println("  violation:", v)
	}
	return !t.Failed() && len(report.Violations) == 0
}
