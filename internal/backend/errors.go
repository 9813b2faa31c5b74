package backend

import "github.com/juju/errors"

// ErrWithheld is the cause of a call that was not sent because its Permit refused it.
const ErrWithheld = errors.ConstError("withheld, the backend server has asked for no request")

// ErrCut is returned for a stream that ended before its end mark, and for a body that
// ended before its announced length.
const ErrCut = errors.ConstError("stream cut before its end mark")

// ErrLineTooLong is returned for a stream with a line longer than Options.MaxLine, or with more than a bound
// of bytes between two events.
const ErrLineTooLong = errors.ConstError("stream line over the limit")

// ErrTrickled is returned, beside the cause of its end, for a call whose answer was arriving in many pieces when its
// context ended, and announced no length.
const ErrTrickled = errors.ConstError("the answer was still arriving piece by piece")

// ErrMalformed is returned for an answer that does not follow the protocol.
const ErrMalformed = errors.ConstError("answer does not follow the protocol")
