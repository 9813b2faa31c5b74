package backend

// Permit decides right before a request is sent whether it may still be sent. A nil Permit allows
// every request.
//
// A new connection to an overloaded backend server may take seconds, in which the backend server
// may ask for no further request.
type Permit func() bool

func (p Permit) allows() bool { return p == nil || p() }
