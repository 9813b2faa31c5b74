package httphead

import (
	"net/textproto"

	"github.com/juju/errors"
)

// Interim checks the 1xx heads before one answer. It is not safe for concurrent use.
type Interim struct {
	// left is how many bytes of such heads are still accepted.
	left int
}

// NewInterim returns an Interim for heads of maxBytes together: net/http itself counts no head that was checked.
func NewInterim(maxBytes int64) *Interim { return &Interim{left: int(maxBytes)} }

const (
	// statusLineBytes is the length of the shortest status line, with the empty line that ends a head.
	statusLineBytes = len("HTTP/1.1 103 \r\n\r\n")
	// lineBytes is the length of a field line beside its name and its value.
	lineBytes = len(": \r\n")
)

// Got checks one head. It has the signature of httptrace.ClientTrace.Got1xxResponse.
func (i *Interim) Got(_ int, header textproto.MIMEHeader) error {
	i.left -= statusLineBytes
	for name, values := range header {
		for _, value := range values {
			i.left -= len(name) + len(value) + lineBytes
		}
	}
	if i.left < 0 {
		return errors.Annotate(ErrInvalid, "1xx heads over the limit")
	}
	return checkNames(header)
}
