package backend

import "github.com/juju/errors"

// ErrCut is returned by a stream that ended before its end mark.
const ErrCut = errors.ConstError("stream cut before its end mark")

// ErrLineTooLong is returned by a stream whose line is over the limit.
const ErrLineTooLong = errors.ConstError("stream line over the limit")

// ErrMalformed is returned for an answer that does not follow the protocol.
const ErrMalformed = errors.ConstError("answer does not follow the protocol")
