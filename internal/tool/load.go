package tool

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/loadgen"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/internal/tomlfile"
)

func loadCommand() command {
	return command{
		name:    "load",
		summary: "Generate load on a running system and check every answer",
		details: `Sends completions (or calls of a plain service) to the entries, each with its own
idempotency key. It waits for the time in Retry-After before each retry, and checks
that each answer is complete, belongs to its request and came once. With -exact,
texts are compared with the expected answers of the stand-in engines.

An open loop (-rate) sends at a fixed mean rate; a closed loop (the default) keeps
-concurrency requests open. The load ends at -count or -duration, whichever comes
first. Several workspaces and classes come from a plan file (-plan) of [[flow]]
tables: name, key_file, class, model or service and path, weight, prompt_bytes,
max_tokens, prefixes, stream, non_idempotent, timeout_ms.

Exits with 1 when an answer violates a guarantee of the system. Refusals and closed
connections are counted but violate no guarantee: the caller can detect them.

Example: citronstep load -key dev -model demo -exact -count 200 -concurrency 8
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			f := &loadFlags{}
			f.register(set)
			return func(i *invocation) error { return i.load(f) }
		},
	}
}

type loadFlags struct {
	entries, plan, key, keyFile string
	flow                        loadFlow
	exact                       bool
	loadgen.Plan
}

// loadFlow is one [[flow]] table of a plan file.
type loadFlow struct {
	Name          string `toml:"name"`
	KeyFile       string `toml:"key_file"`
	Class         string `toml:"class"`
	Model         string `toml:"model"`
	Service       string `toml:"service"`
	Path          string `toml:"path"`
	Weight        int    `toml:"weight"`
	PromptBytes   int    `toml:"prompt_bytes"`
	MaxTokens     int    `toml:"max_tokens"`
	Prefixes      int    `toml:"prefixes"`
	Stream        bool   `toml:"stream"`
	NonIdempotent bool   `toml:"non_idempotent"`
	TimeoutMillis int64  `toml:"timeout_ms"`
}

// The defaults of a flow: short prompts with few different beginnings, and short answers.
const (
	defaultPromptBytes = 400
	defaultMaxTokens   = 32
	defaultPrefixes    = 8
)

// The default concurrency of a closed loop is small enough for -dev. The default of an open
// loop only bounds memory; a run should not reach it.
const (
	defaultCallers = 8
	defaultOpen    = 1024
)

func (f *loadFlags) register(set *flag.FlagSet) {
	set.StringVar(&f.entries, "entries", settings.DevCallers, "addresses of the entries as IP:port, separated by commas, used in turn")
	set.StringVar(&f.plan, "plan", "", "TOML file of [[flow]] tables, in place of the flags of a single flow")
	set.StringVar(&f.key, "key", "", "workspace key; other users of this machine can see it, so use -key-file for real ones")
	set.StringVar(&f.keyFile, "key-file", "", "file with the workspace key")
	set.StringVar(&f.flow.Class, "class", "", "request class")
	set.StringVar(&f.flow.Model, "model", "", "model to send completions to")
	set.StringVar(&f.flow.Service, "service", "", "plain service to call instead of a model")
	set.StringVar(&f.flow.Path, "path", "/", "path of the plain service")
	set.IntVar(&f.flow.PromptBytes, "prompt-bytes", defaultPromptBytes, "mean size of a prompt")
	set.IntVar(&f.flow.MaxTokens, "max-tokens", defaultMaxTokens, "mean value of max_tokens")
	set.IntVar(&f.flow.Prefixes, "prefixes", defaultPrefixes, "number of different prompt beginnings")
	set.BoolVar(&f.flow.Stream, "stream", true, "request streamed answers")
	set.BoolVar(&f.flow.NonIdempotent, "non-idempotent", false, "mark requests as non-idempotent")
	set.Int64Var(&f.flow.TimeoutMillis, "request-timeout-ms", 0, "deadline sent with each request; 0 sends none")
	set.BoolVar(&f.exact, "exact", false, "the engines are stand-ins: compare each text with the expected text")
	set.Float64Var(&f.Rate, "rate", 0, "open loop: mean arrivals per second; 0 means a closed loop")
	set.IntVar(&f.Concurrency, "concurrency", 0, "number of callers of a closed loop (default 8), or limit on open requests of an open loop (default 1024)")
	set.IntVar(&f.Count, "count", 100, "number of requests to send")
	set.DurationVar(&f.Duration, "duration", time.Minute, "how long to send requests")
	set.IntVar(&f.Retries, "retries", 5, "retries of one request")
	set.Uint64Var(&f.Seed, "seed", 1, "seed of the random requests")
	set.DurationVar(&f.GiveUp, "give-up", 2*time.Minute, "time limit for one answer, retries included")
	set.BoolVar(&f.AllowRemote, "allow-remote", false, "permit entries that are not on the loopback interface")
}

func (i *invocation) load(f *loadFlags) error {
	if err := i.requireArgs(0); err != nil {
		return err
	}
	if err := f.prepare(); err != nil {
		return err
	}
	report, err := loadgen.Run(i.ctx, &f.Plan)
	if errors.Is(err, loadgen.ErrPlan) {
		return usagef("%v", err)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if i.json {
		err = i.printJSON(report)
	} else {
		i.printLoad(report)
	}
	if err == nil && report.Broken > 0 {
		return failure.New(failure.TypeInternal, fmt.Sprintf("%d answers violate a guarantee of the system", report.Broken))
	}
	return err
}

// prepare fills in the plan from the flags and the plan file.
func (f *loadFlags) prepare() error {
	f.RunID = uuid.NewString()[:8]
	switch {
	case f.Concurrency == 0 && f.Rate > 0:
		f.Concurrency = defaultOpen
	case f.Concurrency == 0:
		f.Concurrency = defaultCallers
	}
	if f.exact {
		f.Expected = standin.ExpectedText
	}
	for _, entry := range strings.Split(f.entries, ",") {
		entry = strings.TrimSpace(entry)
		if _, err := netip.ParseAddrPort(entry); err != nil {
			return usagef("entry %q: must be IP:port", entry)
		}
		f.Targets = append(f.Targets, entry)
	}
	if f.plan != "" {
		return f.readPlan()
	}
	return f.singleFlow()
}

func (f *loadFlags) singleFlow() error {
	key := f.key
	if f.keyFile != "" {
		var err error
		if key, err = settings.ReadToken(f.keyFile); err != nil {
			return usagef("-key-file: %v", err)
		}
	}
	if key == "" {
		return usagef("give -key-file, -key or -plan")
	}
	f.flow.Name, f.flow.Weight = firstOf(f.flow.Model, f.flow.Service, "flow"), 1
	f.Flows = []loadgen.Flow{f.flow.loadgenFlow(key)}
	return nil
}

func (f *loadFlags) readPlan() error {
	data, err := os.ReadFile(f.plan)
	if err != nil {
		return usagef("%v", err)
	}
	var file struct {
		Flows []loadFlow `toml:"flow"`
	}
	d := tomlfile.Decode(f.plan, data, &file)
	for n, flow := range file.Flows {
		path := flow.KeyFile
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(f.plan), path)
		}
		key, err := settings.ReadToken(path)
		if err != nil {
			d.AddFault(elementKey("flow", n, "key_file"), err.Error(), "a file with the workspace's key, readable by its owner or group only")
			continue
		}
		f.Flows = append(f.Flows, flow.withDefaults().loadgenFlow(key))
	}
	return d.Faults().ErrorOrNil()
}

// withDefaults returns the flow with each zero field set to its default.
func (l loadFlow) withDefaults() loadFlow {
	orDefault := func(n *int, d int) {
		if *n == 0 {
			*n = d
		}
	}
	orDefault(&l.Weight, 1)
	orDefault(&l.PromptBytes, defaultPromptBytes)
	orDefault(&l.MaxTokens, defaultMaxTokens)
	orDefault(&l.Prefixes, defaultPrefixes)
	return l
}

func (l loadFlow) loadgenFlow(key string) loadgen.Flow {
	return loadgen.Flow{
		Name: l.Name, Key: key, Class: l.Class, Model: l.Model, Service: l.Service, Path: l.Path,
		Weight: l.Weight, PromptBytes: l.PromptBytes, MaxTokens: l.MaxTokens, Prefixes: l.Prefixes,
		Stream: l.Stream, NonIdempotent: l.NonIdempotent, Timeout: time.Duration(l.TimeoutMillis) * time.Millisecond,
	}
}

func (i *invocation) printLoad(r *loadgen.Report) {
	check := "shape of each answer"
	if r.Exact {
		check = "exact text of each answer"
	}
	i.printf("run %s, seed %d: %d requests in %.1fs (%.1f per second), %.0f tokens per second; checked: %s",
		r.RunID, r.Seed, r.Total.Requests, r.Seconds, float64(r.Total.Requests)/r.Seconds, float64(r.Total.Tokens)/r.Seconds, check)
	if r.Held > 0 {
		i.printf("%d requests were held back: all %s slots were in use, so the load was lower than requested", r.Held, "-concurrency")
	}
	outcomes := newTable("FLOW", "REQUESTS", "VERDICTS", "REFUSALS", "RETRIES")
	quantiles := newTable("FLOW", "TIME", "COUNT", "MEAN MS", "P50", "P95", "P99", "MAX")
	for _, f := range append(r.Flows, r.Total) {
		outcomes.add(f.Name, fmt.Sprint(f.Requests), strings.Join(loadgen.Lines(f.Verdicts), ","),
			strings.Join(loadgen.Lines(f.Refusals), ","), fmt.Sprint(f.Retries))
		quantiles.addTimes(f.Name, "first token", f.FirstToken)
		quantiles.addTimes(f.Name, "between tokens", f.BetweenTokens)
		quantiles.addTimes(f.Name, "whole", f.Whole)
	}
	i.printf("")
	outcomes.write(i.out)
	i.printf("")
	quantiles.write(i.out)
	for _, e := range r.Examples {
		i.printf("broken: %s in flow %s, idempotency key %s, request id %s", e.Verdict, e.Flow, e.Key, firstOf(e.RequestID, "none"))
	}
}

func (t *table) addTimes(flow, kind string, q loadgen.Times) {
	cell := func(v float64) string { return fmt.Sprintf("%.2f", v) }
	t.add(flow, kind, fmt.Sprint(q.Count), cell(q.Mean), cell(q.Median), cell(q.P95), cell(q.P99), cell(q.Max))
}
