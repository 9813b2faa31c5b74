package controlclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// serveEndless starts a control process that answers each call without end, up to a number of bytes
// after which the test has failed, and returns its address.
func serveEndless(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		part := make([]byte, 64<<10)
		for sent := 0; sent < 2*maxBoardReplyBytes; sent += len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against a control process that sends without end and takes the memory of those that call it.
func TestReplyWithoutEndIsDropped(t *testing.T) {
	calls := map[string]func(*Client) error{
		"watch": func(c *Client) error {
			_, err := c.Watch(context.Background(), &noderpc.WatchRequest{})
			return err
		},
		"last known": func(c *Client) error {
			_, err := c.clientFor(c.seeds[0]).LastKnown(context.Background(), &noderpc.LastKnownRequest{Board: true})
			return err
		},
		"commit": func(c *Client) error {
			_, err := c.Commit(context.Background(), &noderpc.CommitRequest{})
			return err
		},
		"renew": func(c *Client) error {
			_, err := c.Renew(context.Background(), c.seeds[0], &noderpc.RenewRequest{})
			return err
		},
		"suspect": func(c *Client) error { return c.Suspect(context.Background(), &noderpc.SuspectRequest{}) },
		"demand":  func(c *Client) error { return c.ReportDemand(context.Background(), &noderpc.DemandReport{}) },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			c := New([]string{serveEndless(t)}, http.DefaultClient, log.NewNopLogger())
			assert.ErrorContains(t, call(c), bounded.ErrTooLarge.Error())
		})
	}
}
