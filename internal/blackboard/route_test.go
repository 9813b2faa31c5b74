package blackboard

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLongestPathPrefixOfTheHostWins(t *testing.T) {
	x := NewRouteIndex(map[string]Route{
		"all":  {Name: "all", Host: "a.example", PathPrefix: "/"},
		"deep": {Name: "deep", Host: "A.example", PathPrefix: "/v1/chat/"},
		"flat": {Name: "flat", Host: "a.example", PathPrefix: "/v1/"},
		"else": {Name: "else", Host: "b.example", PathPrefix: "/v1/"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/v1/chat/x", "deep"},
		{"a.example:8080", "/v1/chat/x/y", "deep"},
		{"A.EXAMPLE", "/v1/chat", "flat"},
		{"a.example", "/v2/x", "all"},
		{"a.example", "/", "all"},
		{"b.example", "/v1/x", "else"},
		{"b.example", "/v2/x", ""},
		{"c.example", "/v1/x", ""},
		{"a.example", "", ""},
	} {
		got, ok := x.Find(c.host, c.path)
		assert.Equal(t, got.Name, c.want, "%s%s", c.host, c.path)
		assert.Equal(t, ok, c.want != "")
	}
}

func TestServiceForFollowsWeights(t *testing.T) {
	r := Route{Backends: []WeightedService{{"a", 90}, {"none", 0}, {"b", 10}}}
	assert.Equal(t, r.ServiceFor(0), "a")
	assert.Equal(t, r.ServiceFor(0.899), "a")
	assert.Equal(t, r.ServiceFor(0.901), "b")
	assert.Equal(t, r.ServiceFor(0.999999), "b")
	assert.Equal(t, Route{}.ServiceFor(0.5), "")
}

func TestRepeatableRoutes(t *testing.T) {
	assert.Assert(t, Route{Kind: RouteIdempotent}.Repeatable())
	assert.Assert(t, Route{Kind: RouteStreaming, Resumable: true}.Repeatable())
	assert.Assert(t, !Route{Kind: RouteStreaming}.Repeatable())
	assert.Assert(t, !Route{Kind: RouteNonIdempotent}.Repeatable())
}
