// Package admission decides which requests wait, which are refused and which is served next when
// demand exceeds the capacity of the backend servers.
//
// It has no I/O, no goroutine and no clock: the caller passes the time to each method and carries
// out the decisions. It is not safe for concurrent use.
package admission

import "time"

// WorkspacePolicy holds the settings of a preset for one workspace.
type WorkspacePolicy struct {
	// Worth multiplies the worth of the workspace's classes; 0 means 1.
	Worth float64
	// Share is the workspace's weight among workspaces of equal worth; 0
	// means 1.
	Share float64
}

// ClassPolicy holds the settings of a preset for one request class.
type ClassPolicy struct {
	// Worth orders the classes: a greater worth is served first; 0 means 1.
	Worth float64
}

// Policy holds the limits of a Queue, from the preset in force. Its zero value means the defaults
// below.
type Policy struct {
	Workspaces map[string]WorkspacePolicy
	Classes    map[string]ClassPolicy
	// QueueRequests is the greatest number of waiting requests.
	QueueRequests int
	// WorkspaceQueueShare is the greatest part of QueueRequests that one workspace may hold,
	// above 0 and up to 1.
	WorkspaceQueueShare float64
	// FloorShare is the part of the served tokens, from 0 to 1, that waiting requests of lesser
	// worth get together.
	FloorShare float64
	// Reserve is the part of each backend server, from 0 to 1, that requests of lesser worth
	// leave free for requests of the greatest worth.
	Reserve float64
	// LongTokens is the size in tokens from which a request counts as long.
	LongTokens int
	// RetryRatio is the number of retries that each admitted request adds to its retry budget.
	RetryRatio float64
	// RetryPerSecond is the number of retries a second that a budget allows without any admitted
	// request.
	RetryPerSecond float64
	// MinRetryAfter and MaxRetryAfter bound the Retry-After of a refusal.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Seed makes the jitter of Retry-After differ between entries.
	Seed uint64
}

// Defaults of the Policy's fields.
const (
	// DefaultQueueRequests is sized for callers that retry without end. At 3,000 requests a
	// second over 9 entries, it holds half a minute of arrivals, longer than callers wait, in
	// under 8 MB.
	DefaultQueueRequests = 10000
	// DefaultWorkspaceQueueShare keeps a burst of one workspace from filling the queue before
	// another workspace of equal worth sends anything.
	DefaultWorkspaceQueueShare = 0.5
	// DefaultFloorShare is small enough to have little effect on the top class. It is large
	// enough that lesser classes make progress, so that their callers don't resend.
	DefaultFloorShare = 0.05
	// DefaultReserve is the part of a group in which requests of the greatest worth still fit
	// while other entries fill the rest unseen. At twice capacity and with 9 entries, 0.1 left
	// 17% of the starts out of order, 0.2 left 5%.
	DefaultReserve = 0.2
	// DefaultLongTokens separates lookups and summaries from the drafting of complete documents.
	DefaultLongTokens = 4096
	// DefaultRetryRatio limits the load that retries add to a tenth.
	DefaultRetryRatio = 0.1
	// DefaultRetryPerSecond lets a workspace with few requests retry at all.
	DefaultRetryPerSecond = 1
	// DefaultMinRetryAfter is the shortest time that Retry-After can express: HTTP counts it in
	// whole seconds.
	DefaultMinRetryAfter = time.Second
	// DefaultMaxRetryAfter keeps a refused caller from staying away long after the overload has
	// ended.
	DefaultMaxRetryAfter = 30 * time.Second
)

func (p Policy) withDefaults() Policy {
	setInt(&p.QueueRequests, DefaultQueueRequests)
	setInt(&p.LongTokens, DefaultLongTokens)
	setFloat(&p.WorkspaceQueueShare, DefaultWorkspaceQueueShare)
	setFloat(&p.FloorShare, DefaultFloorShare)
	setFloat(&p.Reserve, DefaultReserve)
	setFloat(&p.RetryRatio, DefaultRetryRatio)
	setFloat(&p.RetryPerSecond, DefaultRetryPerSecond)
	if p.MinRetryAfter <= 0 {
		p.MinRetryAfter = DefaultMinRetryAfter
	}
	if p.MaxRetryAfter < p.MinRetryAfter {
		p.MaxRetryAfter = max(DefaultMaxRetryAfter, p.MinRetryAfter)
	}
	return p
}

func setInt(v *int, fallback int) {
	if *v <= 0 {
		*v = fallback
	}
}

func setFloat(v *float64, fallback float64) {
	if *v <= 0 {
		*v = fallback
	}
}

// Worth returns the worth of a request class of a workspace.
func (p Policy) Worth(workspace, class string) float64 {
	return orOne(p.Workspaces[workspace].Worth) * orOne(p.Classes[class].Worth)
}

// lastFactor puts the worth of requests that go last below that of all others.
const lastFactor = 1e-9

func (p Policy) worthOf(r Request) float64 {
	worth := p.Worth(r.Workspace, r.Class)
	if r.Last {
		worth *= lastFactor
	}
	return worth
}

func (p Policy) share(workspace string) float64 {
	return orOne(p.Workspaces[workspace].Share)
}

func orOne(v float64) float64 {
	if v <= 0 {
		return 1
	}
	return v
}

// workspaceLimit returns the number of requests of one workspace that may wait.
func (p Policy) workspaceLimit() int {
	return max(1, int(p.WorkspaceQueueShare*float64(p.QueueRequests)))
}
