// Package standin implements small stand-ins for the external systems: model engines, plain
// services and the rate-limited weight store. They use the protocol of docs/backend-protocol.md
// over real sockets. They accept faults as settings or at run time, and record the work that
// they ran, so that tests can verify the guarantees of the system. `citronstepd -dev` runs them
// too.
//
// The text that an engine generates is a pure function of the prompt (ExpectedText). A checker
// can therefore distinguish the complete answer to a prompt from one that is truncated, has
// repeated parts or belongs to another prompt.
package standin

import "github.com/juju/errors"

// errWeights is the cause of an error when the weight store did not serve a load.
const errWeights = errors.ConstError("weights not loaded")
