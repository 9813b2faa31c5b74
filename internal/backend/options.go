package backend

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
)

// Options holds the limits and the credentials of a Client. A zero field takes its
// documented default.
type Options struct {
	Logger log.Logger
	// Secret is the bearer token that orders, generations and calls carry.
	// It is never logged.
	Secret string
	// Dial makes connections to backend servers; default net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Relay connects to backend servers through other entries; nil if there are none.
	Relay RelayDialer
	// OtherServers returns a few backend servers that are not at an address, to tell a server that is
	// gone from links that are down; nil if there are none.
	OtherServers func(beside string) []string
	// OnPathCheck receives the result of each check of an address; nil for none.
	OnPathCheck func(ListenState)
	// DialTimeout bounds the time to make a connection; default 1 s.
	DialTimeout time.Duration
	// OnDial receives the outcome of each dial and the time that it took; nil for none.
	OnDial func(DialOutcome, time.Duration)
	// HeaderTimeout bounds the wait for an engine's response header, which
	// engines send before they queue; default 3 s. A plain service's header
	// waits for its work, so only the call's context bounds it.
	HeaderTimeout time.Duration
	// MaxLine bounds one line of a token stream in bytes; default 64 KiB.
	MaxLine int
	// MaxReply bounds the body of any other engine answer; default 64 KiB.
	MaxReply int64
	// MaxHeaderBytes bounds a response header; default 64 KiB.
	MaxHeaderBytes int64
	// HeadMemory bounds the memory that the headers of all answers take while they are read and used, in bytes;
	// default 32 MiB. Headers that take more than bounded.LargeHeader get half of it together.
	HeadMemory int64
	// MaxIdle bounds the idle connections to one address; default 64.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept; default 30 s. It is
	// shorter than the idle limits usual in middleboxes, which drop connections
	// silently.
	IdleTimeout time.Duration
	// SuspectAfter is how long a call on a pooled connection must have waited for
	// its response header for its end to retire the idle connections to the
	// address; default 500 ms.
	SuspectAfter time.Duration
	// ForgetAfter is how long the connection pool of an unused address is kept;
	// default 10 min.
	ForgetAfter time.Duration
}

const (
	defaultDialTimeout   = time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultMaxLine       = 64 << 10
	defaultMaxReply      = 64 << 10
	defaultMaxHeader     = 64 << 10
	defaultHeadMemory    = 32 << 20
	defaultMaxIdle       = 64
	defaultIdleTimeout   = 30 * time.Second
	defaultSuspectAfter  = 500 * time.Millisecond
	defaultForgetAfter   = 10 * time.Minute
)

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&o.MaxLine, defaultMaxLine)
	setDefault(&o.MaxReply, defaultMaxReply)
	setDefault(&o.MaxHeaderBytes, defaultMaxHeader)
	setDefault(&o.HeadMemory, defaultHeadMemory)
	setDefault(&o.MaxIdle, defaultMaxIdle)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.SuspectAfter, defaultSuspectAfter)
	setDefault(&o.ForgetAfter, defaultForgetAfter)
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
