package tool

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/tomlfile"
)

// ExitCode is the exit status of the tool. Scripts match it, so a value never changes its
// meaning.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailure: the command was refused or failed, and no other code applies.
	ExitFailure ExitCode = 1
	// ExitUsage: a flag, an argument, a settings file or a document is invalid; nothing was
	// sent.
	ExitUsage ExitCode = 2
	// ExitConflict: another operator's change came first; nothing changed.
	ExitConflict ExitCode = 3
	// ExitNotFound: the named object does not exist.
	ExitNotFound ExitCode = 4
	// ExitUnavailable: no admin address answered in time. A change may or may not have been
	// accepted; the message names the change id for a resend.
	ExitUnavailable ExitCode = 5
	// ExitUnfinished: the change was accepted, but it was not complete within -wait.
	ExitUnfinished ExitCode = 6
	// ExitDenied: the token was missing or refused.
	ExitDenied ExitCode = 7
	// ExitDiffers: diff found differences.
	ExitDiffers ExitCode = 8
)

// exitCodesHelp is the last part of each command's help.
const exitCodesHelp = `Exit codes: 0 done, 1 failure, 2 usage or faulty file, 3 conflict with another
change, 4 not found, 5 no answer (a change may or may not be accepted),
6 accepted but not finished within -wait, 7 token refused, 8 diff found differences.
`

// usageError is an invalid command line, settings file or document; nothing was sent.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// unavailableError reports that no admin address answered in time.
type unavailableError struct {
	addresses []string
	// changeID is set when a change may have been accepted.
	changeID string
	last     error
}

func (e *unavailableError) Error() string {
	text := "no answer from " + strings.Join(e.addresses, ", ")
	if e.last != nil {
		text += " (last: " + e.last.Error() + ")"
	}
	if e.changeID != "" {
		text += "; the change may have been accepted. Run the same command with -change-id " +
			e.changeID + " to get its outcome: it is never applied twice"
	}
	return text
}

// unfinishedError reports that an accepted change was not complete in time.
type unfinishedError struct{ message string }

func (e *unfinishedError) Error() string { return e.message }

// differsError is the result of diff when there are differences.
type differsError struct{}

func (differsError) Error() string { return "the document and the configuration differ" }

// exitCodeOf returns the exit code for an error of any command.
func exitCodeOf(err error) ExitCode {
	var (
		usage       *usageError
		faults      tomlfile.Faults
		unavailable *unavailableError
		unfinished  *unfinishedError
		differs     differsError
	)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &faults):
		return ExitUsage
	case errors.As(err, &unavailable):
		return ExitUnavailable
	case errors.As(err, &unfinished):
		return ExitUnfinished
	case errors.As(err, &differs):
		return ExitDiffers
	}
	return exitCodeOfFailure(failure.From(err).Type)
}

func exitCodeOfFailure(t failure.Type) ExitCode {
	switch t {
	case failure.TypeConflict:
		return ExitConflict
	case failure.TypeNotFound:
		return ExitNotFound
	case failure.TypeUnavailable, failure.TypeNotLeader, failure.TypeOutcomeUnknown, failure.TypeDeadlineExceeded:
		return ExitUnavailable
	case failure.TypeUnauthenticated, failure.TypeForbidden:
		return ExitDenied
	default:
		return ExitFailure
	}
}

// errorDocument is the JSON form of an error on standard error under -json.
type errorDocument struct {
	Error    *failure.Error  `json:"error"`
	ExitCode ExitCode        `json:"exit_code"`
	Faults   tomlfile.Faults `json:"faults,omitempty"`
}

// describeError returns the text of an error for standard error, as JSON if asJSON is set.
func describeError(err error, asJSON bool) string {
	if !asJSON {
		return "citronstep: " + errorText(err) + "\n"
	}
	d := errorDocument{Error: failure.From(err), ExitCode: exitCodeOf(err)}
	errors.As(err, &d.Faults)
	data, _ := json.Marshal(d)
	return string(data) + "\n"
}

// errorText returns the message of an error for people, with the failure's detail and revision.
func errorText(err error) string {
	var f *failure.Error
	if !errors.As(err, &f) {
		return err.Error()
	}
	text := f.Error()
	if f.Detail != "" {
		text += " (" + f.Detail + ")"
	}
	if f.Type == failure.TypeConflict && f.Revision > 0 {
		text += fmt.Sprintf("; the configuration is now at revision %d. Read it and run the command again", f.Revision)
	}
	return text
}
