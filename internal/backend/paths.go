package backend

// The paths of the protocol. docs/backend-protocol.md describes each.
const (
	// PathAnnounce is served by entries.
	PathAnnounce = "/announce/v1"
	// PathOrders, PathGenerate and PathCancel are served by engines.
	PathOrders   = "/v1/orders"
	PathGenerate = "/v1/generate"
	PathCancel   = "/v1/cancel"
)

// The headers that calls of plain services add to those of the caller.
const (
	// HeaderAttempt carries ServiceCall.Attempt to a plain service.
	HeaderAttempt = "Citronstep-Attempt"
	// HeaderStarted, with the value StartedNo, states that a plain service did not
	// start a call.
	HeaderStarted = "Citronstep-Started"
	// StartedNo is HeaderStarted's value for a call that was not started.
	StartedNo = "false"
)

// HeaderRateLimit states how many requests per second a backend server accepts from all
// entries together. It may appear on any answer to a generation or a call.
const HeaderRateLimit = "Citronstep-Rate-Limit"

// HeaderRetryAfter states for how many seconds a backend server that refuses a generation or a
// call with status 503 or 429 accepts no request from the same process.
const HeaderRetryAfter = "Retry-After"

// HeaderLeaving states, with a true value, that a backend server is about to stop and accepts
// no new work. It may appear on any answer to a generation or a call.
const HeaderLeaving = "Citronstep-Leaving"

// Refusal is the body of an engine's answer to a generation that it did not start.
// Started must be present and false; otherwise the answer does not prove that nothing
// ran.
type Refusal struct {
	Started          *bool  `json:"started"`
	Busy             bool   `json:"busy,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	Message          string `json:"message,omitempty"`
}

// CancelRequest is the body of a post to PathCancel.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}
