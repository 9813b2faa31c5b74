package entry

import (
	"slices"
	"strings"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// homesOf returns the regions that all lists allow, sorted. An empty list allows any region;
// the result is nil if all lists are empty. An empty result that is not nil allows no region.
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

// allowsRegion reports whether a region is among the homes; nil allows any.
func allowsRegion(homes []string, region string) bool {
	return homes == nil || slices.Contains(homes, region)
}

// checkHomes refuses a request at once if none of its homes is a region of this system.
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

// homesName returns the job's homes as one name for admission; empty if it has none.
func (j *job) homesName() string {
	if j.homes == nil {
		return ""
	}
	return "[" + strings.Join(j.homes, " ") + "]"
}

// placementRequest returns the job as a request to placement. reserve is the fraction of each
// target that stays free for requests of greater worth.
func (j *job) placementRequest(reserve float64) placement.Request {
	return j.placementBeside(reserve, j.tried)
}

// placementBeside is placementRequest for a target beside some.
func (j *job) placementBeside(reserve float64, besides []string) placement.Request {
	return placement.Request{
		ID: j.id, Model: j.model, Prefix: j.prefix, Tokens: j.tokens(), ReservedFraction: reserve, Homes: j.homes, Exclude: besides,
		Objective: j.firstEventObjective(),
	}
}
