package backend

import (
	"time"

	"github.com/go-kit/log"
)

// Options are the limits and the identity of a Client. A zero field takes the
// default named at it.
type Options struct {
	Logger log.Logger
	// Secret is the bearer token that orders, generations and calls carry.
	// It is never logged.
	Secret string
	// DialTimeout bounds the making of a connection; default 1 s.
	DialTimeout time.Duration
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
	// MaxIdle bounds the idle connections to one address; default 64.
	MaxIdle int
	// IdleTimeout ends an idle connection; default 30 s. It is shorter than
	// the idle limits usual in middleboxes, which drop silently.
	IdleTimeout time.Duration
	// SuspectAfter is how long a call on a pooled connection waits for its
	// header before its end makes the address's idle connections suspect;
	// default 500 ms.
	SuspectAfter time.Duration
	// ForgetAfter drops what is kept for an address not used for so long;
	// default 10 min.
	ForgetAfter time.Duration
}

const (
	defaultDialTimeout   = time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultMaxLine       = 64 << 10
	defaultMaxReply      = 64 << 10
	defaultMaxHeader     = 64 << 10
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
	setDefault(&o.MaxIdle, defaultMaxIdle)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.SuspectAfter, defaultSuspectAfter)
	setDefault(&o.ForgetAfter, defaultForgetAfter)
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
