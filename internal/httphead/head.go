// Package httphead checks answers for what net/http accepts although HTTP does not allow it.
//
// The client of net/http returns an answer with any status of three characters. Its server panics on a status below
// 100. An answer that is passed on unchecked closes its caller's connection.
package httphead

import (
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// ErrInvalid is returned for an answer whose head does not follow HTTP.
const ErrInvalid = errors.ConstError("the head of the answer does not follow HTTP")

// Check returns ErrInvalid for the head of an answer that must not be used.
func Check(r *http.Response) error {
	if r.StatusCode == http.StatusSwitchingProtocols && asksForUpgrade(r.Request) {
		return nil
	}
	return CheckStatus(r.StatusCode)
}

// CheckStatus returns ErrInvalid for a status that is none of a final answer (RFC 9110, section 15).
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Annotate(ErrInvalid, "status "+strconv.Itoa(status))
	}
	return nil
}

// maxStatus is the highest status of HTTP.
const maxStatus = 599

func asksForUpgrade(r *http.Request) bool { return r != nil && r.Header.Get("Upgrade") != "" }
