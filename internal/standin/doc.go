// Package standin holds small stand-ins for what the system meets outside
// itself: model engines, plain services and the rate-limited weight store.
// They speak the protocol of docs/backend-protocol.md over real sockets, take
// faults as settings or at run time, and record what they ran, so that tests
// can prove what the system promises. `citronstepd -dev` runs them too.
//
// Engine text is a pure function of the prompt (ExpectedText), so that a
// checker can tell a whole answer to its own prompt from a cut, doubled or
// crossed one.
package standin

import "github.com/juju/errors"

// errWeights is the cause of a load that the weight store did not serve.
const errWeights = errors.ConstError("weights not loaded")
