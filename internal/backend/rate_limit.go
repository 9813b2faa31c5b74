package backend

import (
	"math"
	"strconv"
	"strings"
)

// ParseRateLimit parses a number of requests per second. It returns nil if text is not a
// finite number of at least 0.
func ParseRateLimit(text string) *float64 {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return nil
	}
	return &perSecond
}
