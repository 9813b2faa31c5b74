package entry

import (
	"slices"
	"strings"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// homesOf returns the regions that all lists allow, in order; nil if none binds. An empty
// result allows no region.
func homesOf(lists ...[]string) []string {
	var homes []string
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case homes == nil:
			homes = slices.Sorted(slices.Values(list))
		default:
			homes = slices.DeleteFunc(homes, func(region string) bool { return !slices.Contains(list, region) })
		}
	}
	return homes
}

// within tells whether a region is among the homes; nil allows any.
func allowsRegion(homes []string, region string) bool {
	return homes == nil || slices.Contains(homes, region)
}

// checkHomes refuses a request at once whose homes are no region of this system.
func (s *Server) checkHomes(homes []string) *failure.Error {
	if homes == nil {
		return nil
	}
	for _, region := range s.o.Regions {
		if slices.Contains(homes, region) {
			return nil
		}
	}
	return failure.New(failure.TypeNoBackendServer, "no region of this system may take the request").
		WithDetail(strings.Join(homes, ", ")).WithRan(failure.RanNo).WithRetryAfter(noGroupRetryAfter)
}

// homesName names the job's homes for admission; empty if it has none.
func (j *job) homesName() string {
	if j.homes == nil {
		return ""
	}
	return "[" + strings.Join(j.homes, " ") + "]"
}

// placed is the job as placement sees it. reserve is the part of each target to be left free
// for greater worth.
func (j *job) placementRequest(reserve float64) placement.Request {
	return placement.Request{
		ID: j.id, Model: j.model, Prefix: j.prefix, Tokens: j.tokens(), Reserve: reserve, Homes: j.homes, Exclude: j.tried,
	}
}
