package intake

import "time"

const (
	// window is the time over which delays are measured.
	window = 50 * time.Millisecond
	// overloadDelay is the delay from which on a window counts as overloaded: a fifth of the time that a connection to a
	// backend server may take. An entry that is kept from its processor for longer takes servers for lost whose answers
	// it has not looked at.
	overloadDelay = 40 * time.Millisecond
)
