package httphead

import (
	"io"
	"net/http"
	"net/textproto"

	"github.com/juju/errors"
)

// ErrTrailer is returned at the end of a complete body whose trailer does not follow HTTP.
const ErrTrailer = errors.ConstError("the trailer of the answer does not follow HTTP")

// Body returns the body of an answer. Its last read returns ErrTrailer in place of io.EOF if the trailer is invalid.
func Body(r *http.Response) io.ReadCloser {
	if len(r.TransferEncoding) == 0 {
		return r.Body
	}
	return &checkedBody{ReadCloser: r.Body, answer: r}
}

type checkedBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read reads the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	return n, trailerError(b.answer.Trailer, err)
}

// trailerError returns the error of a read that returned err. Chunks themselves cause no textproto.ProtocolError.
func trailerError(trailer http.Header, err error) error {
	var invalid textproto.ProtocolError
	if errors.As(err, &invalid) {
		return errors.Annotate(ErrTrailer, invalid.Error())
	}
	if err != io.EOF {
		return err
	}
	for name, values := range trailer {
		// A name without values was announced and not sent.
		if values == nil {
			continue
		}
		if checkNames(http.Header{name: values}) != nil {
			return errors.Annotatef(ErrTrailer, "field name %q", name)
		}
	}
	return io.EOF
}
