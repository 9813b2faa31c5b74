package entry

import (
	"os"
	"runtime/metrics"
	"time"

	"github.com/go-kit/log/level"
)

// OpenReportInterval is the time between two looks at what is open, and so the shortest time between two lines about
// it. What a line says of a process that is killed is at most this old.
const OpenReportInterval = time.Second

// heapChangeDivisor makes a change of the heap by an eighth of its size worth a line.
const heapChangeDivisor = 8

// openWork is what an entry has open.
type openWork struct {
	// open counts the requests, begun those of them whose answers have begun.
	open, begun int
	// oldest is the age of the oldest request.
	oldest time.Duration
	// held is the number of bytes of bodies and of answers that their callers have not read.
	held int64
	// heap is the size of the objects of this process's heap, and memory all that it has from the system through Go,
	// in bytes.
	heap, memory uint64
	// descriptors counts the open descriptors of this process; 0 if the system does not state it.
	descriptors int64
}

// differsFrom reports whether a reader needs a line after the one of last. The age of the oldest request follows from
// the time of the line, and descriptors change with the requests.
func (w openWork) differsFrom(last openWork) bool {
	if w.open != last.open || w.begun != last.begun || w.held != last.held {
		return true
	}
	change := max(w.heap, last.heap) - min(w.heap, last.heap)
	return w.open > 0 && change > last.heap/heapChangeDivisor
}

// ReportOpen logs what is open if that has changed since the last line. A line without open requests is written once,
// after one with some.
func (s *Server) ReportOpen(now time.Time) {
	s.openMu.Lock()
	defer s.openMu.Unlock()
	w := s.openWork(now)
	if !w.differsFrom(s.reportedOpen) {
		return
	}
	isEmpty := w.open == 0 && s.reportedOpen.open == 0
	s.reportedOpen = w
	if isEmpty {
		return
	}
	_ = level.Info(s.stateLogger()).Log("event", "open_requests", "open", w.open, "begun", w.begun, "oldest_ms", w.oldest.Milliseconds(),
		"held_bytes", w.held, "heap_bytes", w.heap, "memory_bytes", w.memory, "descriptors", w.descriptors)
}

func (s *Server) openWork(now time.Time) openWork {
	w := openWork{held: s.memory.reserved(), descriptors: openDescriptors()}
	w.heap, w.memory = processMemory()
	for _, j := range s.jobs.running() {
		w.open++
		w.oldest = max(w.oldest, now.Sub(j.arrived))
		if j.hasBegun() || j.answer.length() > 0 {
			w.begun++
		}
	}
	return w
}

// Names of figures of the Go runtime, in bytes.
const (
	// heapMetric is the size of the live objects of the heap and of those that have not been collected yet.
	heapMetric = "/memory/classes/heap/objects:bytes"
	// mappedMetric is all memory that the runtime has mapped, releasedMetric the part that it has given back.
	mappedMetric   = "/memory/classes/total:bytes"
	releasedMetric = "/memory/classes/heap/released:bytes"
)

// processMemory returns the size of the objects of the heap, and of the memory that this process has from the system
// through Go, in bytes. It does not stop the process, as runtime.ReadMemStats would.
func processMemory() (heap, memory uint64) {
	samples := []metrics.Sample{{Name: heapMetric}, {Name: mappedMetric}, {Name: releasedMetric}}
	metrics.Read(samples)
	for _, s := range samples {
		if s.Value.Kind() != metrics.KindUint64 {
			return 0, 0
		}
	}
	return samples[0].Value.Uint64(), samples[1].Value.Uint64() - samples[2].Value.Uint64()
}

// openDescriptors returns the number of open descriptors of this process, which Linux 6.2 and later state as the size of
// a folder; 0 if the system does not.
func openDescriptors() int64 {
	info, err := os.Stat("/proc/self/fd")
	if err != nil {
		return 0
	}
	return info.Size()
}
