// Package explain finds in the logs of several processes why a request was
// refused, cut or late.
//
// It reads lines in logfmt, takes those of the request and of what it depended on
// (its groups, the leader, the configuration), puts them in order and states the
// cause in a sentence. It has no I/O but the readers that it is given.
package explain

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

// Line is one line of a log.
type Line struct {
	// At is by the clock of the VM that wrote the line.
	At     time.Time
	VM     string
	Event  string
	Fields map[string]string
	// Text is the line as it was read.
	Text string
	// place orders the lines of one VM.
	place int
}

// ErrNoLines means that no line names the request.
const ErrNoLines = errors.ConstError("no line of these logs names the request")

// maxLine bounds one line in bytes.
const maxLine = 1 << 20

// Logs are the parsed lines of all processes.
type Logs struct{ lines []Line }

// Read adds the lines of one log. What stands before a line's time, and lines
// that are not logfmt, are left out.
func (l *Logs) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if line, ok := parse(s.Text()); ok {
			line.place = len(l.lines)
			l.lines = append(l.lines, line)
		}
	}
	return errors.Trace(s.Err())
}

func parse(text string) (Line, bool) {
	from := strings.Index(text, "ts=")
	if from < 0 {
		return Line{}, false
	}
	line := Line{Text: text[from:], Fields: make(map[string]string)}
	d := logfmt.NewDecoder(strings.NewReader(line.Text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			line.Fields[string(d.Key())] = string(d.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields["ts"])
	if err != nil || d.Err() != nil {
		return Line{}, false
	}
	line.At, line.VM, line.Event = at, line.Fields["vm"], line.Fields["event"]
	return line, true
}

// Story is what the logs say of one request.
type Story struct {
	// Lines are those of the request and of what it depended on, in order: those
	// of one VM as it wrote them, those of several VMs by their clocks.
	Lines []Line
	// Cause is a sentence.
	Cause string
}

// Explain returns the story of the request with an id, a caller's own or one
// that an entry made of it. skew is how far apart the clocks of two VMs may be.
func (l *Logs) Explain(id string, skew time.Duration) (Story, error) {
	own := l.of(id)
	if len(own) == 0 {
		return Story{}, errors.Trace(ErrNoLines)
	}
	own = inOrder(own)
	w := window{own[0].At.Add(-before - skew), own[len(own)-1].At.Add(after + skew)}
	all := append(slices.Clone(own), l.around(own, w)...)
	all = inOrder(all)
	return Story{Lines: all, Cause: cause(own, all)}, nil
}

// before and after are how far from the request's own lines those are looked for
// that it depended on: a group is silent for up to five seconds before it is given
// up, and what came of that is decided within two.
const (
	before = 5 * time.Second
	after  = 2 * time.Second
)

type window struct{ from, to time.Time }

func (w window) holds(at time.Time) bool { return !at.Before(w.from) && !at.After(w.to) }

// of returns the lines that name the request.
func (l *Logs) of(id string) []Line {
	var own []Line
	for _, line := range l.lines {
		request := line.Fields["request"]
		if request == id || strings.HasPrefix(request, id+".") {
			own = append(own, line)
		}
	}
	return own
}

// around returns the lines on what the request depended on.
func (l *Logs) around(own []Line, w window) []Line {
	groups, vms := make(map[string]bool), make(map[string]bool)
	for _, line := range own {
		vms[line.VM] = true
		for _, field := range []string{"choice", "target"} {
			if name := line.Fields[field]; name != "" {
				groups[name] = true
			}
		}
	}
	var found []Line
	for _, line := range l.lines {
		if line.Fields["request"] == "" && w.holds(line.At) && concerns(line, groups, vms) {
			found = append(found, line)
		}
	}
	return found
}

// concerns tells whether a line is about one of the groups, about the entries
// that had the request, or about who leads.
func concerns(line Line, groups, vms map[string]bool) bool {
	switch line.Event {
	case "group_stalled", "group_suspected":
		return groups[line.Fields["group"]]
	case "decision":
		return groups[line.Fields["subject"]]
	case "target_routable", "target_closed":
		return vms[line.VM] && groups[line.Fields["target"]]
	case "configuration_taken", "started_without_leader", "dependency_lost", "dependency_regained", "starting", "stopping", "reloaded":
		return vms[line.VM]
	case "leading":
		return true
	}
	return false
}

// inOrder sorts lines by their VMs' clocks and keeps the order in which one VM
// wrote its own, also where its clock was set back.
func inOrder(lines []Line) []Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.place - b.place })
	latest := make(map[string]time.Time)
	keys := make(map[int]time.Time, len(sorted))
	for _, line := range sorted {
		at := line.At
		if at.Before(latest[line.VM]) {
			at = latest[line.VM]
		}
		latest[line.VM] = at
		keys[line.place] = at
	}
	slices.SortStableFunc(sorted, func(a, b Line) int { return keys[a.place].Compare(keys[b.place]) })
	return sorted
}
