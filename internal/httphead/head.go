// Package httphead checks answers for what net/http accepts although HTTP does not allow it.
//
// The client of net/http returns an answer with any status of three characters, and keeps a field whose name holds a
// blank. Its server panics on a status below 100 and drops such a field. An answer that is passed on unchecked closes
// its caller's connection, or has a body that its server did not send, as a framing field was overlooked.
package httphead

import (
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is returned for an answer whose head, or a 1xx head before it, does not follow HTTP.
const ErrInvalid = errors.ConstError("the head of the answer does not follow HTTP")

// Check returns ErrInvalid for the head of an answer that must not be used.
func Check(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return errors.Annotatef(ErrInvalid, "version %q", r.Proto)
	}
	if r.StatusCode == http.StatusSwitchingProtocols && asksForUpgrade(r.Request) {
		return checkNames(r.Header)
	}
	return CheckFinal(r.StatusCode, r.Header)
}

// CheckFinal returns ErrInvalid for a status that is none of a final answer (RFC 9110, section 15), and for an invalid
// name of a field.
func CheckFinal(status int, fields map[string][]string) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Annotate(ErrInvalid, "status "+strconv.Itoa(status))
	}
	return checkNames(fields)
}

// maxStatus is the highest status of HTTP.
const maxStatus = 599

func asksForUpgrade(r *http.Request) bool { return r != nil && r.Header.Get("Upgrade") != "" }

// checkNames returns ErrInvalid for a name that is no token (RFC 9110, section 5.1).
func checkNames(fields map[string][]string) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Annotatef(ErrInvalid, "field name %q", name)
		}
	}
	return nil
}
