// Package capacity measures the slopes from which docs/CAPACITY.md is worked out: the cost of one
// more VM, group, entry, workspace, change or request.
//
// Without -measure each test runs at small sizes and checks only what does not depend on the
// machine, so that CI keeps the measurements working. The commands
//
//	go test ./test/capacity -run TestSlopes -v -args -measure
//	go test ./test/capacity -run TestNodes -v -args -measure
//	go test ./test/capacity -run TestFleet -v -args -measure
//
// print the tables of that page. The figures depend on the machine.
package capacity

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/citronstep/citronstep/test/process/harness"
)

var (
	measure = flag.Bool("measure", false, "measure at full sizes and print the tables")
	entries = flag.String("entries", "4,9,30", "numbers of entry processes that TestNodes measures")
	engines = flag.Int("engines", 8, "number of engines that TestNodes starts, a multiple of two")
	window  = flag.Duration("window", 8*time.Second, "how long TestNodes and TestFleet measure at each number of entries")
	fleets  = flag.String("fleets", "300,1000,2000", "numbers of entries that TestFleet measures")

	serversPerEntry = flag.Int("servers", 3, "backend servers that TestFleet announces for each entry")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(harness.Main(m))
}

// sizes returns the numbers of VMs to measure with.
func sizes() []int {
	if *measure {
		return []int{50, 200, 400, 710}
	}
	return []int{8, 16}
}

// point is a measured value at one size.
type point struct{ size, value float64 }

// slope fits a line through points by least squares. each is the slope, the cost of one more unit
// of size, and none is the intercept, the cost at size 0.
func slope(points []point) (each, none float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	each = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return each, (sy - each*sx) / n
}

// batchCount is the number of times a duration is measured. Their median is used, so that a short
// load by another program does not distort the result.
const batchCount = 5

// timeOf returns the median duration of one call of f in seconds.
func timeOf(f func()) float64 {
	minDuration := 20 * time.Millisecond
	if !*measure {
		minDuration = 0
	}
	var each []float64
	for range batchCount {
		calls := 0
		began := time.Now()
		for calls == 0 || time.Since(began) < minDuration {
			f()
			calls++
		}
		each = append(each, time.Since(began).Seconds()/float64(calls))
	}
	sort.Float64s(each)
	return each[batchCount/2]
}

// heapOf returns the heap bytes that the value returned by build keeps alive.
func heapOf(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// liveHeap returns the size of the live heap in bytes after a garbage collection.
func liveHeap() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// report collects the lines of a Markdown table for docs/CAPACITY.md.
type report struct {
	t     *testing.T
	title string
	lines []string
}

func newReport(t *testing.T, title string) *report { return &report{t: t, title: title} }

// add adds a line with the slope, the intercept and the measured values of points.
func (r *report) add(what string, points []point, unit string) {
	each, none := slope(points)
	var values []string
	for _, p := range points {
		values = append(values, fmt.Sprintf("%.0f: %s", p.size, formatNumber(p.value)))
	}
	r.lines = append(r.lines, fmt.Sprintf("| %s | %s | %s | %s | %s |", what, formatNumber(each), formatNumber(none), unit, strings.Join(values, ", ")))
}

// print logs the table if the tests run with -measure.
func (r *report) print() {
	if *measure {
		r.t.Logf("\n%s\n\n| What | each | none | unit | measured |\n| --- | --- | --- | --- | --- |\n%s\n", r.title, strings.Join(r.lines, "\n"))
	}
}

// formatNumber formats v with about three significant digits.
func formatNumber(v float64) string {
	switch a := max(v, -v); {
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}

const (
	microsPerSecond = 1e6
	kilo            = 1e3
)
