package demand

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// smoothing is the time constant of all rates.
//
// Load: traffic swings by half of its mean within 11 to 13 s, and it doubles for good within a
// moment. With this constant a swing of 0.55 shows as 0.24, and two seconds after it doubled a
// rate shows as 1.4 times the former one.
const smoothing = 4 * time.Second

// maxWindow bounds the time that one report covers. A process that was stopped reports a longer
// one, in most of which it observed nothing.
const maxWindow = 30 * time.Second

// Table sums the reports of all entries.
type Table struct {
	entries map[string]*entrySums
}

// entrySums are the decayed sums of one entry.
type entrySums struct {
	// seconds is the observed time, and models has the counts within that time.
	seconds float64
	models  map[string]sums
	// at is when the last report was received; window is the time that it covered.
	at     time.Time
	window time.Duration
}

// sums are decayed counts of one model.
type sums struct{ arrived, tokens, onTime, late, refused float64 }

func (s sums) scaled(factor float64) sums {
	return sums{s.arrived * factor, s.tokens * factor, s.onTime * factor, s.late * factor, s.refused * factor}
}

func (s sums) plus(o sums) sums {
	return sums{s.arrived + o.arrived, s.tokens + o.tokens, s.onTime + o.onTime, s.late + o.late, s.refused + o.refused}
}

// NewTable returns a table without reports.
func NewTable() *Table { return &Table{entries: make(map[string]*entrySums)} }

// Record adds a report that was received now. Sums of the entry's earlier reports decay by the
// time that the new one covers, so that a lost report changes no rate.
func (t *Table) Record(now time.Time, r Report) {
	if r.Window <= 0 {
		return
	}
	window := min(r.Window, maxWindow)
	e := t.entries[r.Entry]
	if e == nil {
		e = &entrySums{models: make(map[string]sums)}
		t.entries[r.Entry] = e
	}
	keep := math.Exp(-window.Seconds() / smoothing.Seconds())
	// Of the window itself, the beginning has decayed as well.
	weight := smoothing.Seconds() * (1 - keep) / window.Seconds()
	for model, s := range e.models {
		e.models[model] = s.scaled(keep)
	}
	for class, c := range r.Counts {
		s := sums{float64(c.Arrived), float64(c.Tokens), float64(c.OnTime), float64(c.Late), float64(c.Refused)}
		e.models[class.Model] = e.models[class.Model].plus(s.scaled(weight))
	}
	e.seconds = keep*e.seconds + weight*window.Seconds()
	e.at, e.window = now, window
}

// isSilent reports whether an entry has missed several reports. Its callers have gone to other
// entries, or their requests are not observed.
func (e *entrySums) isSilent(now time.Time) bool {
	return now.Sub(e.at) > max(MaxAge(0), maxMissedReports*e.window)
}

// removeSilent removes the entries that no longer report.
func (t *Table) removeSilent(now time.Time) {
	for id, e := range t.entries {
		if e.isSilent(now) {
			delete(t.entries, id)
		}
	}
}

// IsComplete reports whether nearly all of a number of entries report, so that the summaries may
// be compared with the capacity of all groups.
//
// Failure: a new leader has received the reports of a few entries. By these, every model has
// several times the groups that it needs, and groups are turned that are needed.
func (t *Table) IsComplete(now time.Time, entries int) bool {
	t.removeSilent(now)
	return len(t.entries) > 0 && 4*len(t.entries) >= 3*entries
}

// Summaries returns the demand for each model, sorted by model.
func (t *Table) Summaries(now time.Time) []Summary {
	t.removeSilent(now)
	rates := make(map[string]sums)
	updated := make(map[string]time.Time)
	for _, e := range t.entries {
		for model, s := range e.models {
			rates[model] = rates[model].plus(s.scaled(1 / e.seconds))
			if e.at.After(updated[model]) {
				updated[model] = e.at
			}
		}
	}
	out := make([]Summary, 0, len(rates))
	for model, r := range rates {
		// While nearly no request has ended, the fractions are nearly 0.
		ended := max(r.onTime+r.late+r.refused, r.arrived/4, 1e-9)
		out = append(out, Summary{
			Model: model, RequestsPerSecond: r.arrived, TokensPerSecond: r.tokens,
			LateFraction: r.late / ended, RefusedFraction: r.refused / ended, UpdatedAt: updated[model],
		})
	}
	slices.SortFunc(out, func(a, b Summary) int { return cmp.Compare(a.Model, b.Model) })
	return out
}
