// Package explain finds the reason why a request was refused, interrupted or late in the logs
// of several processes.
//
// It reads logfmt lines and selects those of the request and of its dependencies: groups,
// leader and configuration. It sorts them and states the cause in one sentence. It performs no
// I/O except through the readers that it is given.
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
	// At is the time by the clock of the VM that wrote the line.
	At     time.Time
	VM     string
	Event  string
	Fields map[string]string
	// Text is the line as read, from its time on.
	Text string
	// index orders the lines of one VM.
	index int
}

// ErrNoLines reports that no line names the request.
const ErrNoLines = errors.ConstError("no line of these logs names the request")

// maxLineBytes bounds the length of one line.
const maxLineBytes = 1 << 20

// Logs holds the parsed lines of all processes.
type Logs struct{ lines []Line }

// Read adds the lines of one log. It ignores lines that are not logfmt, and any text before the
// time of a line.
func (l *Logs) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if line, ok := parse(s.Text()); ok {
			line.index = len(l.lines)
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

// Story is what the logs show about one request.
type Story struct {
	// Lines are the lines about the request and its dependencies. Lines of one VM keep the
	// order in which the VM wrote them; lines of several VMs are sorted by their clocks.
	Lines []Line
	// Cause is a sentence that states why the request ended as it did.
	Cause string
}

// Explain returns the story of the request with the given id, which is the caller's id or the
// id that an entry derived from it. skew is the largest difference between the clocks of two
// VMs. The error is ErrNoLines if no line names the request.
func (l *Logs) Explain(id string, skew time.Duration) (Story, error) {
	own := l.ofRequest(id)
	if len(own) == 0 {
		return Story{}, errors.Trace(ErrNoLines)
	}
	own = sortLines(own)
	w := window{own[0].At.Add(-lookBehind - skew), own[len(own)-1].At.Add(lookAhead + skew)}
	all := append(slices.Clone(own), l.related(own, w)...)
	all = append(all, l.ofCause(own)...)
	all = sortLines(all)
	return Story{Lines: all, Cause: cause(own, all)}, nil
}

// lookBehind and lookAhead bound the time around the request's own lines in which related lines
// are searched. A group may be silent for up to five seconds before it is treated as failed,
// and the resulting decision follows within two seconds.
const (
	lookBehind = 5 * time.Second
	lookAhead  = 2 * time.Second
)

type window struct{ from, to time.Time }

func (w window) contains(at time.Time) bool { return !at.Before(w.from) && !at.After(w.to) }

// ofRequest returns the lines that name the request.
func (l *Logs) ofRequest(id string) []Line {
	var own []Line
	for _, line := range l.lines {
		request := line.Fields["request"]
		if request == id || strings.HasPrefix(request, id+".") {
			own = append(own, line)
		}
	}
	return own
}

// related returns the lines about the dependencies of the request within the window.
func (l *Logs) related(own []Line, w window) []Line {
	groups, vms, servers := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	cut := make(map[string]bool)
	for _, line := range own {
		vms[line.VM] = true
		if line.Event == "attempt_cut" {
			cut[line.Fields["unit"]] = true
		}
		if line.Event == "relayed" {
			servers[line.Fields["server"]] = true
		}
		for _, field := range []string{"choice", "target"} {
			if name := line.Fields[field]; name != "" {
				groups[name] = true
			}
		}
	}
	var found []Line
	for _, line := range l.lines {
		isCheck := line.Event == "crash_check" && vms[line.VM] && cut[line.Fields["unit"]]
		if line.Fields["request"] == "" && w.contains(line.At) && (isCheck || isRelated(line, groups, vms, servers)) {
			found = append(found, line)
		}
	}
	return found
}

// ofCause returns what the logs show, at any time, of the crashes under other requests with the same cause, and of
// what the board counted. A cause is a request, by its fingerprint, or a part of prompts, by its name.
func (l *Logs) ofCause(own []Line) []Line {
	fingerprint, part := "", ""
	for _, line := range own {
		if f := line.Fields["fingerprint"]; f != "" {
			fingerprint = f
		}
		if line.Event == "refuse" || line.Event == eventAnswerCut {
			part = line.Fields["part"]
		}
	}
	if fingerprint == "" {
		return nil
	}
	var found []Line
	for _, line := range l.lines {
		isOwn := slices.ContainsFunc(own, func(o Line) bool { return o.index == line.index })
		isCounted := line.Event == "crash" || line.Event == "suspect"
		hasPart := part != "" && slices.Contains(strings.Split(line.Fields["parts"], ","), part)
		if isCounted && (line.Fields["fingerprint"] == fingerprint || hasPart) && !isOwn {
			found = append(found, line)
		}
	}
	return found
}

// isRelated reports whether a line is about one of the groups, about an entry that handled the
// request and its path to one of the servers, or about a change of leader.
func isRelated(line Line, groups, vms, servers map[string]bool) bool {
	switch line.Event {
	case "server_relayed", "server_direct":
		return vms[line.VM] && servers[line.Fields["server"]]
	case "group_stalled", "group_suspected", "group_link_down":
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

// sortLines sorts lines by the clocks of their VMs. Lines of one VM keep the order in which the
// VM wrote them, even where its clock was set back.
func sortLines(lines []Line) []Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.index - b.index })
	latest := make(map[string]time.Time)
	keys := make(map[int]time.Time, len(sorted))
	for _, line := range sorted {
		at := line.At
		if at.Before(latest[line.VM]) {
			at = latest[line.VM]
		}
		latest[line.VM] = at
		keys[line.index] = at
	}
	slices.SortStableFunc(sorted, func(a, b Line) int { return keys[a.index].Compare(keys[b.index]) })
	return sorted
}
