// Package admission decides which requests wait, which are refused and which
// goes next when more is asked than the backend servers can do.
//
// It has no I/O, no goroutine and no clock: the caller passes the time to each
// method and carries the decisions out. It is not safe for concurrent use.
package admission

import "time"

// WorkspacePolicy is what a preset says about one workspace.
type WorkspacePolicy struct {
	// Worth multiplies the worth of the workspace's classes; 0 means 1.
	Worth float64
	// Share is the workspace's weight among workspaces of equal worth; 0
	// means 1.
	Share float64
}

// ClassPolicy is what a preset says about one request class.
type ClassPolicy struct {
	// Worth orders the classes, greater first; 0 means 1.
	Worth float64
}

// Policy holds the limits of a Queue, from the preset in force. Its zero
// value gives the defaults below.
type Policy struct {
	Workspaces map[string]WorkspacePolicy
	Classes    map[string]ClassPolicy
	// QueueRequests bounds the requests that wait.
	QueueRequests int
	// WorkspaceQueueShare bounds the part of QueueRequests that one workspace
	// may hold, above 0 and up to 1.
	WorkspaceQueueShare float64
	// FloorShare is the part of the served tokens, from 0 to 1, that requests
	// of lesser worth get together while they wait.
	FloorShare float64
	// Reserve is the part of each backend server, from 0 to 1, that requests
	// of lesser worth leave free for those of the greatest.
	Reserve float64
	// LongTokens is the work from which a request counts as long.
	LongTokens int
	// RetryRatio is how many retries each admitted request earns its
	// workspace.
	RetryRatio float64
	// RetryPerSecond is what a workspace earns without any admitted request.
	RetryPerSecond float64
	// MinRetryAfter and MaxRetryAfter bound what a refused caller is told.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Seed makes the spread of Retry-After differ between entries.
	Seed uint64
}

// Defaults of the Policy's fields.
const (
	// DefaultQueueRequests is made for callers that retry without end: at
	// 3,000 requests a second over 9 entries it holds half a minute of
	// arrivals, which is longer than callers wait, in under 8 MB.
	DefaultQueueRequests = 10000
	// DefaultWorkspaceQueueShare keeps one workspace's storm from filling the
	// queue before another workspace of equal worth sends anything.
	DefaultWorkspaceQueueShare = 0.5
	// DefaultFloorShare is small enough that the top class hardly notices and
	// large enough that a lesser class moves, which lets its callers see
	// progress in place of sending again.
	DefaultFloorShare = 0.05
	// DefaultReserve is the part of a group in which requests of the greatest
	// worth fit while other entries fill the rest unseen. At twice capacity and
	// with 9 entries, 0.1 left 17% of the starts out of order, 0.2 left 5%.
	DefaultReserve = 0.2
	// DefaultLongTokens divides lookups and summaries from the drafting of
	// whole documents.
	DefaultLongTokens = 4096
	// DefaultRetryRatio bounds the load that retries add to a tenth.
	DefaultRetryRatio = 0.1
	// DefaultRetryPerSecond lets a workspace with few requests retry at all.
	DefaultRetryPerSecond = 1
	// DefaultMinRetryAfter is the least a caller can act on: HTTP's
	// Retry-After counts whole seconds.
	DefaultMinRetryAfter = time.Second
	// DefaultMaxRetryAfter keeps a refused caller from staying away long
	// after the load is gone.
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
	return positive(p.Workspaces[workspace].Worth) * positive(p.Classes[class].Worth)
}

func (p Policy) share(workspace string) float64 {
	return positive(p.Workspaces[workspace].Share)
}

func positive(v float64) float64 {
	if v <= 0 {
		return 1
	}
	return v
}

// workspaceLimit is how many requests of one workspace may wait.
func (p Policy) workspaceLimit() int {
	return max(1, int(p.WorkspaceQueueShare*float64(p.QueueRequests)))
}
