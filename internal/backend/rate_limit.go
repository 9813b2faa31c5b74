package backend

import (
	"math"
	"net/http"
	"strconv"
	"strings"
)

// ParseRateLimit reads requests a second; nil if there is no number that can be one.
func ParseRateLimit(text string) *float64 {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return nil
	}
	return &perSecond
}

func rateLimitOf(h http.Header) *float64 { return ParseRateLimit(h.Get(HeaderRateLimit)) }
