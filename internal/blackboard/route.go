package blackboard

import (
	"strconv"
	"strings"

	"github.com/citronstep/citronstep/internal/failure"
)

// RouteKind states how often a request of a route may run.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent requests may run any number of times.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent requests run at most once for each time that the caller sends them.
	RouteNonIdempotent RouteKind = "non_idempotent"
	// RouteStreaming requests are answered with a stream of events. They run at most once,
	// unless the route is resumable.
	RouteStreaming RouteKind = "streaming"
)

// Route maps callers' HTTP requests with one host and path prefix to services.
type Route struct {
	Name string `json:"name" toml:"name"`
	// Host is compared without its port and case-insensitively.
	Host string `json:"host" toml:"host"`
	// PathPrefix begins and ends with a slash. The longest matching prefix wins.
	PathPrefix string    `json:"path_prefix" toml:"path_prefix"`
	Kind       RouteKind `json:"kind" toml:"kind"`
	// Resumable states that another run of the request may continue the stream, from the event
	// after the last one that the caller received.
	Resumable bool `json:"resumable,omitempty" toml:"resumable"`
	// Public routes require no workspace key.
	Public bool `json:"public,omitempty" toml:"public"`
	// TimeoutMillis is the longest time from the arrival of a request to its deadline. A request
	// may state a shorter timeout.
	TimeoutMillis int64 `json:"timeout_ms" toml:"timeout_ms"`
	// ObjectiveMillis is the operators' objective for the time to the answer, or to the first
	// event of a stream; 0 means none.
	ObjectiveMillis int64 `json:"objective_ms,omitempty" toml:"objective_ms"`
	// GapMillis is the operators' objective for the longest gap between two events.
	GapMillis int64 `json:"gap_ms,omitempty" toml:"gap_ms"`
	// MaxAttempts bounds the number of backend servers that one request is sent to.
	MaxAttempts int `json:"max_attempts" toml:"max_attempts"`
	// Priority ranks the route; 0 is the highest priority.
	Priority int `json:"priority" toml:"priority"`
	// Homes are the regions whose backend servers may serve the route's requests; empty means
	// any region.
	Homes []string `json:"homes,omitempty" toml:"homes"`
	// Backends are the services that share the route's requests by weight.
	Backends []WeightedService `json:"backends" toml:"backends"`
}

// WeightedService is a service of a route with its share of the requests.
type WeightedService struct {
	Service string `json:"service" toml:"service"`
	// Weight is relative to the other weights of the route; 0 means no requests.
	Weight int `json:"weight" toml:"weight"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStreaming && r.Resumable)
}

// ServiceFor returns the service for a request with the random number draw in [0, 1). Each
// service owns a part of the range in proportion to its weight.
func (r Route) ServiceFor(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	at := draw * float64(total)
	for _, b := range r.Backends {
		if at < float64(b.Weight) {
			return b.Service
		}
		at -= float64(b.Weight)
	}
	return ""
}

// validate returns an error if the route is invalid or names a service that c does not contain.
func (r Route) validate(c *Configuration) *failure.Error {
	invalid := func(message string) *failure.Error {
		return failure.New(failure.TypeBadRequest, message).WithDetail("routes." + r.Name)
	}
	switch {
	case r.Name == "" || r.Host == "":
		return invalid("a route needs a name and a host")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return invalid("path_prefix begins and ends with a slash")
	case r.Kind != RouteIdempotent && r.Kind != RouteNonIdempotent && r.Kind != RouteStreaming:
		return invalid("kind is idempotent, non_idempotent or streaming, not " + strconv.Quote(string(r.Kind)))
	case r.TimeoutMillis <= 0:
		return invalid("timeout_ms is over 0")
	case r.MaxAttempts < 1:
		return invalid("max_attempts is 1 or more")
	}
	total := 0
	for _, b := range r.Backends {
		if _, known := c.Services[b.Service]; !known {
			return invalid("unknown service " + strconv.Quote(b.Service))
		}
		if b.Weight < 0 {
			return invalid("a weight is 0 or more")
		}
		total += b.Weight
	}
	if total <= 0 {
		return invalid("the weights add up to 0")
	}
	return nil
}

// RouteIndex finds the route of a request. It is immutable and safe for concurrent use. Entries
// build one for each configuration.
type RouteIndex struct {
	// byHost maps a host and a path prefix to the route.
	byHost map[string]map[string]Route
}

// NewRouteIndex returns an index of the routes.
func NewRouteIndex(routes map[string]Route) *RouteIndex {
	x := &RouteIndex{byHost: make(map[string]map[string]Route)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		if x.byHost[host] == nil {
			x.byHost[host] = make(map[string]Route)
		}
		x.byHost[host][r.PathPrefix] = r
	}
	return x
}

// Find returns the route of the host with the longest matching path prefix. Its cost grows with
// the number of slashes in the path, not with the number of routes.
func (x *RouteIndex) Find(host, path string) (Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	prefixes := x.byHost[strings.ToLower(host)]
	for end := len(path); end > 0; {
		at := strings.LastIndexByte(path[:end], '/')
		if at < 0 {
			break
		}
		if r, ok := prefixes[path[:at+1]]; ok {
			return r, true
		}
		end = at
	}
	return Route{}, false
}
