package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// FencingToken orders the orders that engines get. A later leader has a
// higher Term; a later group on the same VM has a higher Epoch.
type FencingToken struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

// Less tells whether t is older than o.
func (t FencingToken) Less(o FencingToken) bool {
	if t.Term != o.Term {
		return t.Term < o.Term
	}
	return t.Epoch < o.Epoch
}

// OrderKind names what an engine is told to do.
type OrderKind string

// The orders. Each is idempotent under one fencing token.
const (
	// OrderLoad makes the engine member Rank of a group and load the weights.
	OrderLoad OrderKind = "load"
	// OrderRelease makes the engine leave its group.
	OrderRelease OrderKind = "release"
	// OrderOpen makes the head of a group whose members are all ready take
	// requests. OrderClose ends that: at once, or with Finish set once the
	// requests that it has are done.
	OrderOpen  OrderKind = "open"
	OrderClose OrderKind = "close"
)

// GroupMember is one VM of a serving group, as an order names it.
type GroupMember struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	// Incarnation is the one that is to be the member.
	Incarnation string `json:"incarnation,omitempty"`
}

// Order tells one engine what to do. Engines that check fencing refuse an
// order whose token is older than the newest they have seen; others obey it.
type Order struct {
	Kind  OrderKind    `json:"kind"`
	Token FencingToken `json:"token"`
	// Incarnation is the engine incarnation that the order is meant for.
	Incarnation string        `json:"incarnation,omitempty"`
	Group       string        `json:"group"`
	Model       string        `json:"model,omitempty"`
	Members     []GroupMember `json:"members,omitempty"`
	Rank        int           `json:"rank"`
	// Finish is of OrderClose.
	Finish bool `json:"finish,omitempty"`
}

// OrderReply is what the engine answered.
type OrderReply struct {
	// Accepted is false when the engine refused the order as stale.
	Accepted bool `json:"accepted"`
	// Newest is the newest token that the engine has seen, if it checks.
	Newest FencingToken `json:"newest"`
}

// Generation is one attempt at a completion on one serving group.
type Generation struct {
	// Attempt is unique to this attempt; every event echoes it.
	Attempt string `json:"attempt"`
	Request string `json:"request"`
	Group   string `json:"group"`
	Epoch   uint64 `json:"epoch"`
	Model   string `json:"model"`
	Prompt  string `json:"prompt"`
	// MaxTokens bounds the whole answer, tokens before Offset included.
	MaxTokens int `json:"max_tokens"`
	// Offset is the number of tokens that the caller has already; the engine
	// starts with the token at this offset. Generated is their text.
	Offset    int    `json:"offset"`
	Generated string `json:"generated,omitempty"`
	// Priority is higher for more worth.
	Priority int `json:"priority"`
	// Parameters are the caller's other sampling parameters, passed as given.
	Parameters map[string]json.RawMessage `json:"parameters,omitempty"`
}

// Token is one event of a generation's stream.
type Token struct {
	Attempt string `json:"attempt"`
	// Offset is the position of this token in the whole answer.
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// End marks the last event; Total is then the answer's token count.
	End          bool   `json:"end,omitempty"`
	Total        int    `json:"total,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	// KeepAlive marks an event that only says that the engine is at work.
	KeepAlive bool `json:"-"`
}

// TokenStream is the answer to one Generation.
type TokenStream interface {
	// Next returns the next event in the order of arrival, keep-alives
	// included. It returns io.EOF only after the end mark; a stream cut
	// before it returns ErrCut. Events are not checked otherwise.
	Next() (Token, error)
	// RateLimit is how many requests a second the engine takes from all entries together;
	// nil if it names no limit.
	RateLimit() *float64
	// Close ends the stream and its connection if it is still open.
	Close() error
}

// ServiceCall is one attempt at a call of a plain service.
type ServiceCall struct {
	Attempt string
	Method  string
	// Path is what follows /services/NAME, with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Fresh asks for a connection of its own. A pooled one may have gone
	// silent; the making of a new one shows that the path works right before
	// a call is sent whose unknown outcome would be final.
	Fresh bool
	// Verbatim passes a caller's own request on: Path and Host as they came, and
	// an answer that ends with its connection is taken, though its end can't be
	// told from a cut that looks like an ordinary close.
	Verbatim bool
	// Host is what the caller named, if Verbatim is set.
	Host string
}

// ServiceAnswer is the head of a plain service's answer; Body ends with
// io.EOF only when the whole announced body has arrived.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the announced length of Body, or -1.
	Length int64
	// RateLimit is how many requests a second the service takes from all entries together;
	// nil if it names no limit.
	RateLimit *float64
}

// Client talks to backend servers. Each error is a *CallError.
type Client interface {
	Generate(ctx context.Context, address string, g Generation) (TokenStream, error)
	Cancel(ctx context.Context, address, attempt string) error
	Order(ctx context.Context, address string, o Order) (OrderReply, error)
	Call(ctx context.Context, address string, c ServiceCall) (*ServiceAnswer, error)
	// Retire closes the idle connections to address: after one connection
	// has gone silent its siblings are suspect too.
	Retire(address string)
}

// Sent says how far a failed call got.
type Sent int

// The stages of a call. Only SentNothing and SentRefused prove that the
// request did not run.
const (
	// SentNothing: no connection was made, so no byte was sent.
	SentNothing Sent = iota
	// SentRefused: the backend server said that it did not start the request.
	SentRefused
	// SentUnknown: the request, or part of it, may have arrived.
	SentUnknown
)

// CallError is a failed call.
type CallError struct {
	Address string
	Sent    Sent
	// Status is the HTTP status, or 0 when no answer came.
	Status int
	// Busy says that the backend server refused for want of room.
	Busy bool
	// RetryAfter is what the backend server asked for, or 0.
	RetryAfter time.Duration
	// RateLimit is how many requests a second the backend server takes from all entries
	// together; nil if it names no limit or gave no answer.
	RateLimit *float64
	Cause     error
}

// Error returns the address, the stage and the cause.
func (e *CallError) Error() string {
	text := "backend server " + e.Address + ": " + e.Sent.String()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// String returns the stage in words.
func (s Sent) String() string {
	switch s {
	case SentNothing:
		return "nothing sent"
	case SentRefused:
		return "refused, not started"
	default:
		return "may have started"
	}
}
