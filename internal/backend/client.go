package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// FencingToken determines which of two orders to an engine is newer. A later leader
// has a higher Term; a later group on the same VM has a higher Epoch.
type FencingToken struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

// Less reports whether t is older than o.
func (t FencingToken) Less(o FencingToken) bool {
	if t.Term != o.Term {
		return t.Term < o.Term
	}
	return t.Epoch < o.Epoch
}

// OrderKind is the operation that an order requests of an engine.
type OrderKind string

// The kinds of orders. Each order is idempotent under one fencing token.
const (
	// OrderLoad makes the engine member Rank of a group and load the weights.
	OrderLoad OrderKind = "load"
	// OrderRelease makes the engine leave its group.
	OrderRelease OrderKind = "release"
	// OrderOpen makes the head of a group whose members are all ready accept
	// requests. OrderClose makes it stop: at once or, with Finish set, after it has
	// finished the requests that it has.
	OrderOpen  OrderKind = "open"
	OrderClose OrderKind = "close"
	// OrderStage makes the VM's host fetch the weights of Model from the weight store, beside
	// all other work. It belongs to no group.
	OrderStage OrderKind = "stage"
)

// GroupMember is one VM of a serving group in an order.
type GroupMember struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	// Incarnation is the engine incarnation that is to be the member.
	Incarnation string `json:"incarnation,omitempty"`
}

// Order is a command to one engine. Engines that check fencing refuse an order whose
// token is older than the newest that they have received; others carry it out.
type Order struct {
	Kind  OrderKind    `json:"kind"`
	Token FencingToken `json:"token"`
	// Incarnation is the engine incarnation that the order is meant for.
	Incarnation string        `json:"incarnation,omitempty"`
	Group       string        `json:"group"`
	Model       string        `json:"model,omitempty"`
	Members     []GroupMember `json:"members,omitempty"`
	Rank        int           `json:"rank"`
	// Finish applies to OrderClose.
	Finish bool `json:"finish,omitempty"`
}

// OrderReply is an engine's answer to an order.
type OrderReply struct {
	// Accepted is false when the engine refused the order as stale.
	Accepted bool `json:"accepted"`
	// Newest is the newest token that the engine has received, if it checks fencing.
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
	// MaxTokens bounds the complete answer, including the tokens before Offset.
	MaxTokens int `json:"max_tokens"`
	// Offset is the number of tokens that the caller already has, and Generated is
	// their text. The engine starts with the token at this offset.
	Offset    int    `json:"offset"`
	Generated string `json:"generated,omitempty"`
	// Priority is higher for a request of more worth (its scheduling weight).
	Priority int `json:"priority"`
	// Parameters are the caller's other sampling parameters, passed on unchanged.
	Parameters map[string]json.RawMessage `json:"parameters,omitempty"`
	Permit     Permit                     `json:"-"`
	// OnRelay is called with the peer if one relays the call; it may be nil.
	OnRelay func(peer string) `json:"-"`
}

// Token is one event of a generation's stream.
type Token struct {
	Attempt string `json:"attempt"`
	// Offset is the position of this token in the complete answer.
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// End marks the last event; Total is then the answer's token count.
	End          bool   `json:"end,omitempty"`
	Total        int    `json:"total,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	// KeepAlive marks an event that only shows that the engine is working.
	KeepAlive bool `json:"-"`
}

// TokenStream is the answer to one Generation.
type TokenStream interface {
	// Next returns the next event in the order of arrival, including keep-alives.
	// It returns io.EOF only after the end mark, and ErrCut if the stream ends
	// before. It does not check events otherwise.
	Next() (Token, error)
	// Notice returns what the engine states about itself.
	Notice() Notice
	// Close ends the stream and its connection if it is still open.
	Close() error
}

// ServiceCall is one attempt at a call of a plain service.
type ServiceCall struct {
	Attempt string
	Method  string
	// Path is the part of the request's path after /services/NAME, with its query.
	Path   string
	Header http.Header
	Body   []byte
	// NewConnection requests a new connection for this call. A pooled connection may be dead
	// without notice. Making a new one shows that the network path works right before
	// a call is sent whose unknown outcome would be final.
	NewConnection bool
	// Verbatim passes a caller's own request on with its Path and Host unchanged. It
	// also accepts an answer that ends with its connection, although such an end can't
	// be distinguished from a cut that looks like an ordinary close.
	Verbatim bool
	// Host is the caller's Host header, if Verbatim is set.
	Host   string
	Permit Permit
	// RequestID is the caller's id of the request, for the logs of a peer that relays the call.
	// OnRelay is called with that peer; it may be nil.
	RequestID string
	OnRelay   func(peer string)
}

// ServiceAnswer is the head of a plain service's answer; Body ends with
// io.EOF only when the complete announced body has arrived.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the announced length of Body, or -1.
	Length int64
	// EndsWithConnection is set if the answer announces no end: one that is cut looks complete.
	EndsWithConnection bool
	Notice             Notice
}

// Client makes calls to backend servers. Each error is a *CallError.
type Client interface {
	Generate(ctx context.Context, address string, g Generation) (TokenStream, error)
	Cancel(ctx context.Context, address, attempt string) error
	Order(ctx context.Context, address string, o Order) (OrderReply, error)
	Call(ctx context.Context, address string, c ServiceCall) (*ServiceAnswer, error)
	// RetireConnections closes the idle connections to address: after one connection has gone
	// silent, the others are likely to be dead as well.
	RetireConnections(address string)
}

// Stage is how far a failed call got.
type Stage int

// The stages of a call. Only StageNotSent and StageRefused prove that the
// request did not run.
const (
	// StageNotSent means that no byte of the request was sent.
	StageNotSent Stage = iota
	// StageRefused means that the backend server reported that it did not start the
	// request.
	StageRefused
	// StageUnknown means that the request, or part of it, may have arrived.
	StageUnknown
)

// CallError is a failed call.
type CallError struct {
	Address string
	Stage   Stage
	// Status is the HTTP status, or 0 if no answer arrived.
	Status int
	// Busy is set if the backend server refused for lack of capacity.
	Busy bool
	// Notice is what the backend server states about itself; empty if it gave no answer.
	Notice Notice
	// Connection is the connection that the call was made on, and Waited the time from the
	// call's start to its failure; both are empty if an answer arrived.
	Connection Connection
	Waited     time.Duration
	Cause      error
}

// Connection is the kind of connection that a call was made on.
type Connection string

// The kinds of connections. NoConnection means that none could be made.
const (
	NoConnection     Connection = "none"
	NewConnection    Connection = "new"
	PooledConnection Connection = "pooled"
)

// Error returns the address, the stage and the cause as text.
func (e *CallError) Error() string {
	text := "backend server " + e.Address + ": " + e.Stage.String()
	if e.Connection != "" {
		text += fmt.Sprintf(" (connection: %s, waited %d ms)", e.Connection, e.Waited.Milliseconds())
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// String returns a description of the stage.
func (s Stage) String() string {
	switch s {
	case StageNotSent:
		return "nothing sent"
	case StageRefused:
		return "refused, not started"
	default:
		return "may have started"
	}
}
