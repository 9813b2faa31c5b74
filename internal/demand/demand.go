// Package demand keeps what callers ask of each model: how many requests arrive, how much work
// they bring and how many of them are on time, late or refused.
//
// Situation: each of a thousand entries sees a fraction of a model's requests, and the leader,
// which lays out the serving groups, sees none. Declared shares are wrong at one time or another:
// one model's requests double for ten seconds while the groups of another are half idle.
//
// Input: reports of the entries, each with a count since its last report. Output: a Summary for
// each model, decayed, with its age. The package has no I/O, goroutines or clock: the caller
// passes the current time to each method. It is not safe for concurrent use.
package demand

import "time"

// Class identifies the requests of one request class of one model.
type Class struct {
	Model string
	Class string
}

// Count counts the requests of a Class within some time.
type Count struct {
	// Arrived counts first tries. Retries of callers and of the system are not counted, because
	// they grow with the lack of capacity and not with the demand.
	Arrived int
	// Tokens is the work of the requests that arrived: prompt and expected output.
	Tokens int
	// OnTime and Late count requests by whether their first event met their objective.
	OnTime, Late int
	// Refused counts requests that were refused or failed.
	Refused int
}

// Report is what one entry observed within Window, up to the moment of the report.
type Report struct {
	Entry  string
	Window time.Duration
	Counts map[Class]Count
}

// Summary is the demand for one model over all entries.
type Summary struct {
	Model string
	// RequestsPerSecond and TokensPerSecond are smoothed rates of arrival.
	RequestsPerSecond, TokensPerSecond float64
	// LateFraction and RefusedFraction are fractions, from 0 to 1, of the requests that arrived.
	LateFraction, RefusedFraction float64
	// UpdatedAt is the time of the newest report that the summary includes.
	UpdatedAt time.Time
}
