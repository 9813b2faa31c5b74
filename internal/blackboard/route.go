package blackboard

import (
	"strconv"
	"strings"

	"github.com/citronstep/citronstep/internal/failure"
)

// RouteKind says how often a request of a route may run.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent requests may run any number of times.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent requests run at most once for each send of a caller.
	RouteNonIdempotent RouteKind = "non_idempotent"
	// RouteStreaming requests are answered by a stream of events. They run at
	// most once, unless the route is resumable.
	RouteStreaming RouteKind = "streaming"
)

// Route leads callers' HTTP requests of one host and path prefix to services.
type Route struct {
	Name string `json:"name" toml:"name"`
	// Host is compared without its port and without regard to case.
	Host string `json:"host" toml:"host"`
	// PathPrefix begins and ends with a slash; the longest match wins.
	PathPrefix string    `json:"path_prefix" toml:"path_prefix"`
	Kind       RouteKind `json:"kind" toml:"kind"`
	// Resumable says that a stream may go on in another run, from the event
	// after the last one that the caller has.
	Resumable bool `json:"resumable,omitempty" toml:"resumable"`
	// Public routes need no workspace key.
	Public bool `json:"public,omitempty" toml:"public"`
	// TimeoutMillis is the longest that a request may be kept waiting.
	TimeoutMillis int64 `json:"timeout_ms" toml:"timeout_ms"`
	// ObjectiveMillis is the time to the answer, or to a stream's first event,
	// that the operators aim at; 0 is none.
	ObjectiveMillis int64 `json:"objective_ms,omitempty" toml:"objective_ms"`
	// GapMillis is the longest pause between two events that they aim at.
	GapMillis int64 `json:"gap_ms,omitempty" toml:"gap_ms"`
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int `json:"max_attempts" toml:"max_attempts"`
	// Priority ranks the route; 0 goes first.
	Priority int `json:"priority" toml:"priority"`
	// Homes are the regions whose backend servers may take its requests; empty is any.
	Homes []string `json:"homes,omitempty" toml:"homes"`
	// Backends are the services that share the route's requests by weight.
	Backends []WeightedService `json:"backends" toml:"backends"`
}

// WeightedService is one service of a route and its part of the requests.
type WeightedService struct {
	Service string `json:"service" toml:"service"`
	// Weight is relative to the route's other weights; 0 gets nothing.
	Weight int `json:"weight" toml:"weight"`
}

// Repeatable tells whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStreaming && r.Resumable)
}

// ServiceFor returns the service that takes a request whose draw is in [0, 1),
// each service getting the part of the range that its weight gives it.
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

// check refuses a route that could not be carried out.
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

// RouteIndex finds the route of a request. It is made once for each
// configuration and safe for concurrent use.
type RouteIndex struct {
	// byHost maps a host to its prefixes, and these to the route.
	byHost map[string]map[string]Route
}

// NewRouteIndex returns the index of the routes.
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

// Find returns the route of the host with the longest prefix of the path. Its
// cost grows with the slashes of the path and not with the number of routes.
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
