// Package tomlfile decodes TOML documents strictly and reports all faults of a
// document at once, each with its file, line, key and the allowed values.
//
// The TOML library stops at the first value of a wrong type, but an operator who
// corrects a file needs all faults. The library therefore parses only the syntax,
// and this package matches the values to the Go types.
package tomlfile

import (
	"sort"
	"strconv"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	File string
	// Line and Column count from 1. They are 0 if the fault has no position, as
	// for a missing file.
	Line, Column int
	// Key is the full key, such as "entry.listen" or "workspace[1].name".
	Key     string
	Message string
	// Allowed describes the values that the key accepts.
	Allowed string
}

// Error returns the fault as one line that begins with the file and position.
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

// Faults holds all faults of one document. Only a non-empty list is an error; see ErrorOrNil.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// ErrorOrNil returns f as an error, or nil if there is no fault.
func (f Faults) ErrorOrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sort sorts the faults by their position in the file.
func (f Faults) Sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
}
