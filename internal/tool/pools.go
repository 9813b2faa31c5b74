package tool

import (
	"flag"
	"maps"
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/explain"
)

func poolsCommand() command {
	return command{
		name:      "pools",
		arguments: "LOG...",
		summary:   "Summarise VM use and group repairs by pool from the logs of control processes",
		details: `Reads the logs that control processes wrote to standard output ("-" is standard
input). For each pool it prints the VM-seconds by state. It also prints how many
groups broke, by reason, the duration of each repair step, and how many suspicions
that entries reported led to a break. Give the logs of all control processes: only
the leader writes these lines. Time without a leader is not counted.

Example: citronstep pools control-*.log
`,
		setup: func(*flag.FlagSet) func(*invocation) error {
			return func(i *invocation) error { return i.pools() }
		},
	}
}

func (i *invocation) pools() error {
	if len(i.args) == 0 {
		return usagef("give at least one log file")
	}
	logs := &explain.Logs{}
	for _, path := range i.args {
		if err := readLog(logs, path); err != nil {
			return err
		}
	}
	report := logs.Pools()
	if i.json {
		return i.printJSON(report)
	}
	i.printPools(report)
	return nil
}

func (i *invocation) printPools(r explain.PoolReport) {
	for _, pool := range slices.Sorted(maps.Keys(r.Seconds)) {
		i.printf("pool %s, VM-seconds:", pool)
		total := 0.0
		for _, seconds := range r.Seconds[pool] {
			total += seconds
		}
		for _, state := range slices.Sorted(maps.Keys(r.Seconds[pool])) {
			seconds := r.Seconds[pool][state]
			i.printf("  %-8s %10.0f  %5.1f%%", state, seconds, 100*seconds/max(total, 1))
		}
	}
	i.printf("groups that broke: %d", len(r.Repairs))
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		i.printf("  %4d  %s", r.Reasons[reason], reason)
	}
	i.printStep(r, "broken to formed", func(r explain.Repair) time.Duration { return r.Formed })
	i.printStep(r, "formed to serving", func(r explain.Repair) time.Duration { return r.Served })
	i.printf("suspected by entries: %d group epochs, broken for that reason: %d", r.Suspected, r.Acted)
}

func (i *invocation) printStep(r explain.PoolReport, name string, step func(explain.Repair) time.Duration) {
	median, longest, shown := r.Steps(step)
	i.printf("%s: median %d ms, longest %d ms, of %d repairs", name, median.Milliseconds(), longest.Milliseconds(), shown)
}
