package loadtest

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"text/tabwriter"
	"time"
)

var (
	table = flag.Bool("table", false, "print the full table of scenarios and policies")
	seeds = flag.Int("seeds", 3, "number of seeds of the full table, from 1 on")
	only  = flag.String("only", "", "run only the scenario of this name")
)

var policies = []policy{
	{"citronstep", newEntry},
	{"first-come, round robin", newBaseline(roundRobin)},
	{"least outstanding", newBaseline(leastOutstanding)},
}

// runSeeds runs s under p with several seeds.
func runSeeds(s *scenario, p policy, seeds int, rate float64) *result {
	r := &result{}
	for seed := range seeds {
		r.add(run(s, p, uint64(seed+1), rate))
	}
	return r
}

// TestTable prints the full table:
//
//	go test ./internal/loadtest -run TestTable -table -v
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("run with -table")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 1, ' ', tabwriter.Debug)
	defer out.Flush()
	fmt.Fprintln(out, "scenario\tpolicy\tin time\tlookup\tsummary\tdraft\tTTFT 50\t95\t99\tlookup TTFT 50\t95\t99\trefused/job\twasted\tgoodput/capacity\tengine queue\trecovery, lookup / all")
	for _, s := range scenarios() {
		if *only != "" && *only != s.name {
			continue
		}
		_, jobs := capacity(s.mix)
		for _, p := range policies {
			r := runSeeds(s, p, *seeds, jobs)
			row(out, s, p, r)
		}
	}
}

func row(out *tabwriter.Writer, s *scenario, p policy, r *result) {
	possible, _ := capacity(r.served())
	fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%s\t%s\t%.1f\t%s\n", s.name, p.name,
		percent(r.all.inTimeFraction()), percent(r.classes[0].inTimeFraction()), percent(r.classes[1].inTimeFraction()), percent(r.classes[2].inTimeFraction()),
		seconds(r.all.quantile(0.5)), seconds(r.all.quantile(0.95)), seconds(r.all.quantile(0.99)),
		seconds(r.classes[0].quantile(0.5)), seconds(r.classes[0].quantile(0.95)), seconds(r.classes[0].quantile(0.99)),
		float64(r.refusals)/float64(max(1, r.all.jobs)), percent(r.wasted.Seconds()/max(0.001, r.spent.Seconds())),
		percent(r.useful.Seconds()/r.counted.Seconds()/possible), float64(r.queued)/float64(r.reports), recoveryText(s, r))
}

func recoveryText(s *scenario, r *result) string {
	if !s.endless {
		return "-"
	}
	end := s.duration()
	return seconds(r.classes[0].recovery(end)) + " / " + seconds(r.all.recovery(end))
}

func percent(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) }

func seconds(d time.Duration) string { return fmt.Sprintf("%.2fs", d.Seconds()) }

// worthMix consists almost only of lookups. Their load exceeds the capacity that they may use, so
// that requests of the greatest worth do wait.
var worthMix = [3]float64{0.96, 0.03, 0.01}

// TestOrderOfWorth prints how often requests start out of the order of worth when several entries
// share the groups:
//
//	go test ./internal/loadtest -run TestOrderOfWorth -table -v
func TestOrderOfWorth(t *testing.T) {
	if !*table {
		t.Skip("run with -table")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 1, ' ', tabwriter.Debug)
	defer out.Flush()
	fmt.Fprintln(out, "entries\tload\tout of order\tlookup in time\tlookup TTFT 50\t95\t99\tgoodput/capacity")
	for _, mix := range [][3]float64{ordinaryMix, worthMix} {
		_, jobs := capacity(mix)
		for _, entries := range []int{1, 2, 6, 9} {
			s := &scenario{name: "worth", mix: mix, large: 0.4, honouring: 0.5, load: steady(2), entries: entries, noFloor: true}
			r := runSeeds(s, policies[0], *seeds, jobs)
			possible, _ := capacity(r.served())
			l := &r.classes[0]
			fmt.Fprintf(out, "%d\tlookups %.0f%%\t%s\t%s\t%s\t%s\t%s\t%s\n", entries, 100*mix[0],
				percent(float64(r.inversions)/float64(r.starts)), percent(l.inTimeFraction()),
				seconds(l.quantile(0.5)), seconds(l.quantile(0.95)), seconds(l.quantile(0.99)),
				percent(r.useful.Seconds()/r.counted.Seconds()/possible))
		}
	}
}

// TestAblations prints the effect of single parts of the policy:
//
//	go test ./internal/loadtest -run TestAblations -table -v
func TestAblations(t *testing.T) {
	if !*table {
		t.Skip("run with -table")
	}
	ablations := []policy{
		policies[0],
		{"no prefix affinity", newEntryWith(ablation{noPrefix: true})},
		{"no cache hints", newEntryWith(ablation{noHints: true})},
		{"no reserve", newEntryWith(ablation{noReserve: true})},
		{"no floor share", newEntryWith(ablation{noFloor: true})},
		{"equal worth for all", newEntryWith(ablation{oneWorth: true})},
		{"no deadlines", newEntryWith(ablation{noDeadlines: true})},
		{"no idempotency keys", newEntryWith(ablation{noKeys: true})},
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 1, ' ', tabwriter.Debug)
	defer out.Flush()
	fmt.Fprintln(out, "scenario\tablation\tin time\tlookup\tsummary\tdraft\tTTFT 50\t95\t99\trefused/job\twasted\tprompt computed")
	for _, s := range scenarios() {
		if s.name != "skew" && s.name != "saturation" && s.name != "storm" {
			continue
		}
		_, jobs := capacity(s.mix)
		for _, p := range ablations {
			r := runSeeds(s, p, *seeds, jobs)
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%s\t%s\n", s.name, p.name,
				percent(r.all.inTimeFraction()), percent(r.classes[0].inTimeFraction()), percent(r.classes[1].inTimeFraction()), percent(r.classes[2].inTimeFraction()),
				seconds(r.all.quantile(0.5)), seconds(r.all.quantile(0.95)), seconds(r.all.quantile(0.99)),
				float64(r.refusals)/float64(max(1, r.all.jobs)), percent(r.wasted.Seconds()/max(0.001, r.spent.Seconds())),
				percent(float64(r.computed)/float64(max(1, r.promptTokens))))
		}
	}
}

// TestSize runs saturation with the number of groups and entries expected in two years:
//
//	go test ./internal/loadtest -run TestSize -table -v
func TestSize(t *testing.T) {
	if !*table {
		t.Skip("run with -table")
	}
	const groups, entries = 89, 9
	_, jobs := capacity(ordinaryMix)
	for _, load := range []float64{0.7, 2} {
		s := &scenario{
			name: fmt.Sprint("load ", load), mix: ordinaryMix, large: 0.4, honouring: 0.5, load: steady(load),
			groups: groups, entries: entries,
		}
		out := tabwriter.NewWriter(os.Stdout, 0, 4, 1, ' ', tabwriter.Debug)
		r := runSeeds(s, policies[0], 1, jobs*groups/groupCount)
		r.counted = r.counted * groups / groupCount
		row(out, s, policies[0], r)
		out.Flush()
	}
}
