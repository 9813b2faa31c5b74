package tool

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/httphead"
)

const (
	// attemptTimeout bounds one attempt at one address, so that an unresponsive address leaves
	// time for the next one.
	attemptTimeout = 5 * time.Second
	// retryDelay is the wait after all addresses were tried once. A leader election takes about
	// this long.
	retryDelay = 300 * time.Millisecond
)

// client calls the admin API and tries its addresses one after the other.
//
// Every call is safe to repeat: reads change nothing, changes carry a change id, and init is
// idempotent. So when a response is lost, the client sends the same request to the next address
// until the timeout passes.
type client struct {
	addresses []string
	token     string
	timeout   time.Duration
	http      *http.Client
}

func newClient(c connection) *client {
	return &client{
		addresses: c.addresses,
		token:     c.token,
		timeout:   c.timeout,
		http:      &http.Client{Transport: &httphead.Transport{Base: http.DefaultTransport}},
	}
}

func (c *client) get(ctx context.Context, path string, into any) error {
	return errors.Trace(c.call(ctx, http.MethodGet, path, nil, into, ""))
}

// post sends body to path. changeID, if not empty, is named in the error when the outcome of
// the change stays unknown.
func (c *client) post(ctx context.Context, path string, body, into any, changeID string) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.call(ctx, http.MethodPost, path, data, into, changeID))
}

// call sends a request to all addresses in turn until it gets a final response or the timeout
// passes.
func (c *client) call(ctx context.Context, method, path string, body []byte, into any, changeID string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		last := c.tryAllAddresses(ctx, method, path, body, into)
		if last == nil || !isRetryable(last) {
			return last
		}
		select {
		case <-ctx.Done():
			return &unavailableError{addresses: c.addresses, changeID: changeID, last: last}
		case <-time.After(retryDelay):
		}
	}
}

// tryAllAddresses tries each address once and stops at the first final response.
//
// "Not founded" is final only when every address returns it: a control process that has not
// joined yet does not know the cluster that the others form.
func (c *client) tryAllAddresses(ctx context.Context, method, path string, body []byte, into any) error {
	var last error
	for _, address := range c.addresses {
		err := c.tryAddress(ctx, method, address, path, body, into)
		isNotFounded := failure.Is(err, failure.TypeNotFounded)
		if err == nil || (!isNotFounded && !isRetryable(err)) {
			return err
		}
		if last == nil || !isNotFounded {
			last = err
		}
	}
	return last
}

// isRetryable reports whether another address, or the same address a little later, may succeed
// where this attempt failed. An address that answers "unavailable" may be a control process
// without a connection to the leader.
func isRetryable(err error) bool {
	var f *failure.Error
	if !errors.As(err, &f) {
		return true
	}
	switch f.Type {
	case failure.TypeUnavailable, failure.TypeNotLeader, failure.TypeDraining,
		failure.TypeOutcomeUnknown, failure.TypeDeadlineExceeded:
		return true
	}
	return false
}

// tryAddress sends the request to one address.
func (c *client) tryAddress(ctx context.Context, method, address, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := bounded.ReadAll(response.Body, adminapi.MaxAnswerBytes)
	if errors.Is(err, bounded.ErrTooLarge) {
		return failure.New(failure.TypeInternal, fmt.Sprintf("%s answered more than %d bytes; is it the admin address?", address, adminapi.MaxAnswerBytes))
	}
	if err != nil {
		return errors.Annotate(err, address)
	}
	return readAnswer(address, response.StatusCode, data, into)
}

// readAnswer decodes a response body into the result or into the typed failure that the body
// holds.
func readAnswer(address string, status int, data []byte, into any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(data, into); err != nil {
			return failure.New(failure.TypeInternal, address+" answered with a body that is not JSON of the admin API")
		}
		return nil
	}
	var body failure.Body
	if err := json.Unmarshal(data, &body); err == nil && body.Error != nil && body.Error.Type != "" {
		return body.Error
	}
	t := failure.TypeInternal
	if status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		t = failure.TypeUnavailable
	}
	return failure.New(t, address+" answered "+http.StatusText(status)+" without a typed failure; is it the admin address?")
}
