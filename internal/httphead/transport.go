package httphead

import (
	"net/http"
	"net/http/httptrace"
)

// maxInterimBytes bounds the 1xx heads before one answer, in bytes.
const maxInterimBytes = 32 << 10

// Transport is an http.RoundTripper that checks each answer.
type Transport struct{ Base http.RoundTripper }

// CloseIdleConnections closes the idle connections of Base. http.Client.CloseIdleConnections calls it.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip sends a request. It returns ErrInvalid for an answer whose head does not follow HTTP.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	interim := NewInterim(maxInterimBytes)
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{Got1xxResponse: interim.Got})
	return RoundTrip(t.Base, r.WithContext(ctx))
}

// RoundTrip sends a request and checks the head of its answer, and later its trailer.
func RoundTrip(base http.RoundTripper, r *http.Request) (*http.Response, error) {
	answer, err := base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(answer); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	answer.Body = Body(answer)
	return answer, nil
}
