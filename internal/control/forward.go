package control

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/httphead"
)

// Forwarder sends operators' requests from a control process that does not lead to the leader.
type Forwarder struct {
	Client *http.Client
	// Token is the bearer token that the system's own processes share.
	Token  string
	Logger log.Logger
}

// NewForwarder returns a Forwarder whose answers from the leader are bounded like those that the
// operators' tool reads.
func NewForwarder(client *http.Client, token string, l log.Logger) *Forwarder {
	return &Forwarder{Client: bounded.Client(client, adminapi.MaxAnswerBytes, l), Token: token, Logger: l}
}

// forwardTimeout bounds a forwarded request, including a long poll for events.
const forwardTimeout = maxEventsWait + 5*time.Second

func (f *Forwarder) middleware(s *Server) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			st := s.o.Consensus.Status()
			here := !st.Founded || st.Leader.Address == "" || st.Leader.ID == st.ID
			if here || c.Path() == adminapi.PathInit {
				return next(c)
			}
			return f.forward(c, st.Leader.Address)
		}
	}
}

// forward sends the request once. If no response arrives, the leader may still have executed
// the request. The operator's change id makes a second attempt safe.
func (f *Forwarder) forward(c echo.Context, leader string) error {
	in := c.Request()
	ctx, cancel := context.WithTimeout(in.Context(), forwardTimeout)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, in.Method,
		"http://"+leader+in.URL.RequestURI(), io.LimitReader(in.Body, maxAdminBody))
	if err != nil {
		return failure.New(failure.TypeBadRequest, err.Error())
	}
	out.Header.Set("Authorization", "Bearer "+f.Token)
	out.Header.Set("Content-Type", "application/json")
	answer, err := f.Client.Do(out)
	if err != nil {
		return failure.New(failure.TypeOutcomeUnknown, "no response from the leader: "+err.Error()).WithRan(failure.RanUnknown)
	}
	defer func() { _ = answer.Body.Close() }()
	err = c.Stream(answer.StatusCode, answer.Header.Get("Content-Type"), answer.Body)
	// A trailer is not passed on.
	if err != nil && !errors.Is(err, httphead.ErrTrailer) {
		_ = level.Warn(f.Logger).Log("event", "forwarded_answer_cut", "leader", leader, "path", in.URL.Path, "err", err)
		// A part of the answer must not look like the whole.
		panic(http.ErrAbortHandler)
	}
	return nil
}
