// Package tomlfile decodes TOML documents strictly and reports every fault of
// a document at once, each with file, line, key and what is allowed.
//
// The TOML library stops at the first value of a wrong type. An operator who
// mends a file wants all of them, so the values are matched to the Go type
// here; syntax is the library's.
package tomlfile

import (
	"sort"
	"strconv"
	"strings"
)

// Fault is one thing wrong in a document.
type Fault struct {
	File string
	// Line and Column count from 1; 0 means that the fault has no place in
	// the file, as a missing file has none.
	Line, Column int
	// Key is the full key, such as "entry.listen" or "workspace[1].name".
	Key     string
	Message string
	// Allowed says what the key takes.
	Allowed string
}

// Error returns the fault as one line, file and line first.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		b.WriteString(":" + strconv.Itoa(f.Line) + ":" + strconv.Itoa(f.Column))
	}
	b.WriteString(": ")
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Message)
	if f.Allowed != "" {
		b.WriteString("; allowed: " + f.Allowed)
	}
	return b.String()
}

// Faults are all faults of one document. Only a non-empty list is an error.
type Faults []Fault

// Error returns one line a fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// OrNil returns f as an error, or nil when there is no fault.
func (f Faults) OrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sort orders the faults by their place in the file.
func (f Faults) Sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
}
