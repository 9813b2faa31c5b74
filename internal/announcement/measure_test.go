package announcement

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/evidence"
)

var (
	measureFlag = flag.Bool("measure", false, "measure the exchange for longer and print the figures")
	entriesFlag = flag.Int("entries", 9, "number of entries that TestTraffic measures")
	loadFlag    = flag.Bool("load", false, "change the load in every announcement")
	vmsFlag     = flag.Int("vms", 50, "number of VMs that TestTraffic measures")
)

// TestTraffic measures the bytes that an entry reads and writes for the exchange, and
// the processor time. All entries run in this process. Every VM announces itself to one
// of the entries each evidence.AnnounceInterval.
func TestTraffic(t *testing.T) {
	entries, vms, span := 3, 4, 2*evidence.AnnounceInterval
	if *measureFlag {
		entries, vms, span = *entriesFlag, *vmsFlag, 10*time.Second
	}
	list := startProcesses(t, entries)
	announceAll := func(sequence uint64) {
		for vm := range vms {
			list[vm%entries].announceLoad(fmt.Sprintf("vm-%03d", vm), sequence, loadOf(vm, sequence))
		}
	}
	announceAll(1)
	for _, p := range list {
		for vm := range vms {
			p.await(t, "every VM", hasSequence(fmt.Sprintf("vm-%03d", vm), 1))
		}
	}
	before, cpu, began := total(list), processor(), time.Now()
	sequence := uint64(1)
	for time.Since(began) < span {
		sequence++
		announceAll(sequence)
		time.Sleep(evidence.AnnounceInterval)
	}
	seconds := time.Since(began).Seconds()
	bytes := float64(total(list)-before) / seconds / float64(entries)
	spent := (processor() - cpu).Seconds() / seconds / float64(entries)
	t.Logf("%d entries, %d VMs: each entry reads and writes %.2f KB/s and uses %.2f%% of a core", entries, vms, bytes/1000, spent*100)
}

// loadOf returns nil without -load, otherwise a load that differs from the load at the
// previous sequence.
func loadOf(vm int, sequence uint64) *backend.Load {
	if !*loadFlag {
		return nil
	}
	n := vm + int(sequence)*7
	return &backend.Load{
		Running: n % 16, Queued: n % 3, TokensInFlight: 5000 + n%977, TokensPerSecond: float64(n) * 1.37,
		Capacity: 8000, AgeMillis: int64(n % 211),
	}
}

// total returns the bytes that all processes have read. Each byte passes the connection
// of one dialler, which counts its reads and writes.
func total(list []*process) int64 {
	sum := int64(0)
	for _, p := range list {
		sum += p.read.Load() + p.written.Load()
	}
	return sum
}

func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
