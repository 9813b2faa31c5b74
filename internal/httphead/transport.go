package httphead

import "net/http"

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
