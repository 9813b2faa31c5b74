package admission

import "time"

const (
	// maxAbsenceRetryAfter bounds the Retry-After of a pool without backend servers, so that
	// callers return soon after a long outage.
	maxAbsenceRetryAfter = 30 * time.Second
	// absenceJitter is the greatest addition to that Retry-After, as a fraction of it.
	absenceJitter = 0.25
)

// AbsenceRetryAfter returns when a caller should come back to a pool that has had no backend server
// for the time absent. least is the shortest time in which one can be expected. id spreads the
// callers.
//
// Load: the last backend server of a service is in an evacuated data centre, and nothing replaces it
// for half a minute. With a fixed second, every caller returns each second and is refused again. An
// absence that has lasted a while is expected to last as long again, so that a caller returns in vain
// a few times at most.
func AbsenceRetryAfter(least, absent time.Duration, id string) time.Duration {
	after := min(max(least, absent), max(least, maxAbsenceRetryAfter))
	return after + time.Duration(absenceJitter*hashUnit(0, id)*float64(after))
}
