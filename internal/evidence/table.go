// Package evidence keeps who heard what of which backend server, and when.
//
// Each entry and each control process holds one Table. Backend servers announce
// themselves to any entry; entries exchange digests of what they heard, so each
// process knows how fresh the newest announcement of each backend server is.
// The package has no I/O and no clock: now is passed in and must be monotonic.
// A Table is not safe for concurrent use.
package evidence

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// The periods of the exchange. They belong together: a VM's newest state waits
// at most AnnounceInterval at the engine and DigestInterval at the entry that
// heard it. With one announcement lost its age at another entry is at most twice
// AnnounceInterval and DigestInterval, 1.1 s; with one frame lost on the way at
// most both and a retransmission of some 200 ms, 0.9 s. Both are under
// RoutableAge with 100 ms for the way. A longer DigestInterval would save frames
// and close routes when one announcement is lost.
const (
	// AnnounceInterval is what entries answer as AnnounceReply.IntervalMillis.
	AnnounceInterval = 400 * time.Millisecond
	// DigestInterval is how often a process sends each peer its digest.
	DigestInterval = 300 * time.Millisecond
	// ObserveInterval is how often a running process calls its table at least.
	ObserveInterval = 200 * time.Millisecond
	// routableIntervals is RoutableAge in announcements.
	routableIntervals = 3
	// RoutableAge bounds the age of the evidence that a member of a group is
	// alive. A member that died less than this ago may still be routed to; a
	// shorter bound would stop routing at each lost announcement.
	RoutableAge = routableIntervals * AnnounceInterval
	// WitnessAge is how old the last digest of a peer may be for the peer to
	// count as a witness: three digests in a row lost.
	WitnessAge = 1 * time.Second
)

const (
	// pauseGap is the gap between two calls that shows that this process was
	// stopped, as no running process lets ObserveInterval pass five times.
	pauseGap = 1 * time.Second
	// resumeSettle is how long after such a gap direct announcements are not
	// taken as fresh.
	resumeSettle = 1 * time.Second
	// retiredSilence is how long the present incarnation must be silent before a
	// retired one is believed again.
	retiredSilence = 3 * time.Second
	// maxRetired bounds the incarnations remembered for one backend server.
	maxRetired = 4
	// maxRecords bounds the backend servers known at once, over ten times the
	// 710 runners of the target size, so that names made up by whoever may
	// announce don't fill the memory.
	maxRecords = 8192
	// recordTTL is how long a silent backend server is kept, and pruneInterval how
	// often this is looked after.
	recordTTL     = time.Hour
	pruneInterval = time.Minute
	// gapWeight is the weight of the newest interval in Report.Gap.
	gapWeight = 0.2
)

// Detail is the part of an announcement that rarely changes.
type Detail struct {
	Address      string   `json:"address"`
	DataCentre   string   `json:"data_centre"`
	FabricDomain string   `json:"fabric_domain,omitempty"`
	Service      string   `json:"service,omitempty"`
	Accelerators int      `json:"accelerators,omitempty"`
	Model        string   `json:"model,omitempty"`
	Weights      []string `json:"weights,omitempty"`
}

// Heard is one line of a digest: the newest announcement of one backend server
// that the sender heard itself.
type Heard struct {
	Kind        backend.Kind `json:"kind"`
	ID          string       `json:"id"`
	Incarnation string       `json:"incarnation"`
	// StartedMillis is that of the announcement; 0 is unknown.
	StartedMillis int64         `json:"started_ms,omitempty"`
	Sequence      uint64        `json:"sequence"`
	Group         string        `json:"group,omitempty"`
	Epoch         uint64        `json:"epoch,omitempty"`
	Phase         backend.Phase `json:"phase,omitempty"`
	// AgeMillis is how long before the digest the sender heard it.
	AgeMillis int64 `json:"age_ms"`
	Leaving   bool  `json:"leaving,omitempty"`
	// ColdMillis is how much longer it was cold when it was heard.
	ColdMillis  int64         `json:"cold_ms,omitempty"`
	Unreachable []string      `json:"unreachable,omitempty"`
	Load        *backend.Load `json:"load,omitempty"`
	// Detail is sent when it has changed since the receiver's cursor.
	Detail *Detail `json:"detail,omitempty"`
}

// Report is what a Table knows of one backend server.
type Report struct {
	Heard
	// Known is the newest Detail; nil when none has arrived yet.
	Known *Detail
	// HeardAt is the latest time, by this process's clock, at which some
	// process surely had heard the announcement.
	HeardAt time.Time
	// Source is the process that heard it.
	Source string
	// FirstHeard and FirstSequence are those of the first announcement of this
	// incarnation that arrived here.
	FirstHeard    time.Time
	FirstSequence uint64
	// Gap is the smoothed interval between announcements.
	Gap time.Duration
}

// ColdUntil is until when the backend server is cold by what it announced; its past if it
// is not.
func (r *Report) ColdUntil() time.Time {
	return r.HeardAt.Add(time.Duration(r.ColdMillis) * time.Millisecond)
}

type key struct {
	kind backend.Kind
	id   string
}

type record struct {
	report Report
	// retired maps each earlier incarnation to its last sequence.
	retired      map[string]uint64
	retiredOrder []string
	// receivedNumber and detailNumber are the numbers of the last direct
	// announcement and of the last change of detail.
	receivedNumber uint64
	detailNumber   uint64
	detailChanged  bool
}

// Cursor says up to where a peer has a table's digests. The zero Cursor has
// nothing.
type Cursor struct {
	// Run tells one start of the sender from another.
	Run    uint64 `json:"run"`
	Number uint64 `json:"number"`
}

// Table is the evidence that one process holds.
type Table struct {
	self string
	// interval is the time between two announcements of a backend server.
	interval time.Duration
	// at numbers the direct announcements of this run.
	cursor      Cursor
	records     map[key]*record
	digestTimes map[string]time.Time
	lastCall    time.Time
	prunedAt    time.Time
	// distrustUntil is set when the process wakes from a stop.
	distrustUntil       time.Time
	lastCallBeforePause time.Time
}

// NewTable returns an empty table of the process whose entry id is self. run
// differs for each start of that process.
func NewTable(self string, run uint64) *Table {
	return &Table{self: self, interval: AnnounceInterval, cursor: Cursor{Run: run}, records: make(map[key]*record), digestTimes: make(map[string]time.Time)}
}

// SetInterval states the time between two announcements of a backend server
// where it is not AnnounceInterval: whoever makes the announcements sets it.
func (t *Table) SetInterval(d time.Duration) { t.interval = d }

// Interval returns the time between two announcements of a backend server.
func (t *Table) Interval() time.Duration { return t.interval }

// RoutableAge bounds the age of evidence at which a member counts as heard.
func (t *Table) RoutableAge() time.Duration { return routableIntervals * t.interval }

// Left records that a backend server has said that it is gone: no new work may
// go there. It returns false when nothing is known that is matches.
//
// A goodbye carries no sequence. It takes one far above those in use, so that
// an announcement that was on its way does not bring the server back.
func (t *Table) Left(now time.Time, source string, is func(incarnation string) bool) bool {
	for _, r := range t.records {
		if !is(r.report.Incarnation) {
			continue
		}
		h := r.report.Heard
		h.Leaving = true
		h.Sequence += departureStep
		h.Detail = r.report.Known
		if r.report.Leaving && r.report.Sequence >= departureStep {
			return true
		}
		r.advance(now, source, h)
		t.cursor.Number++
		r.receivedNumber = t.cursor.Number
		return true
	}
	return false
}

// departureStep is the distance of a goodbye's sequence from the last one: more
// announcements than a process makes in a year.
const departureStep = 1 << 32

// observe notices that the process was stopped between two calls.
//
// Failure: an entry is frozen for ten seconds and a member dies meanwhile. The
// member's last announcements wait in the entry's socket; read on waking, they
// would make the dead member look alive for RoutableAge. The guard dates
// direct announcements to before the stop until the sockets have been read
// empty, which takes far less than resumeSettle.
func (t *Table) observe(now time.Time) {
	if !t.lastCall.IsZero() && now.Sub(t.lastCall) > pauseGap {
		t.distrustUntil = now.Add(resumeSettle)
		t.lastCallBeforePause = t.lastCall
	}
	if now.After(t.lastCall) {
		t.lastCall = now
	}
}

// Hear records an announcement that reached this process directly.
func (t *Table) Hear(now time.Time, source string, a backend.Announcement) {
	t.observe(now)
	heardAt := now
	if now.Before(t.distrustUntil) {
		heardAt = t.lastCallBeforePause
	}
	h := Heard{
		Kind: a.Kind, ID: a.ID, Incarnation: a.Incarnation, StartedMillis: a.StartedMillis, Sequence: a.Sequence,
		Group: a.Group, Epoch: a.Epoch, Phase: a.Phase, Leaving: a.Leaving, ColdMillis: a.ColdMillis,
		Unreachable: a.Unreachable, Load: a.Load,
		Detail: &Detail{
			Address: a.Address, DataCentre: a.DataCentre, FabricDomain: a.FabricDomain,
			Service: a.Service, Accelerators: a.Accelerators, Model: a.Model, Weights: a.Weights,
		},
	}
	r := t.apply(heardAt, source, h)
	if r == nil {
		return
	}
	t.cursor.Number++
	r.receivedNumber = t.cursor.Number
	if r.detailChanged {
		r.detailChanged = false
		r.detailNumber = t.cursor.Number
	}
}

// Merge records the digest of a peer. asked is a time of this process's clock
// at which the peer had surely not made the digest yet, such as when it was
// asked for; never the time at which it arrived.
//
// Failure: a digest is held up on its way for seconds, and its lines look
// fresh on arrival. Each line was heard no earlier than asked minus its age,
// however long the answer took, so dating it from asked never makes it fresher
// than it is.
func (t *Table) Merge(asked time.Time, source string, digest []Heard) {
	if asked.After(t.digestTimes[source]) {
		t.digestTimes[source] = asked
	}
	for _, h := range digest {
		if h.AgeMillis < 0 {
			continue
		}
		t.apply(asked.Add(-time.Duration(h.AgeMillis)*time.Millisecond), source, h)
	}
}

// Digest returns what this process heard directly after a peer's cursor, and
// the peer's next cursor. A peer whose answer was lost asks again under its old
// cursor and misses nothing. Digest also counts this process as a witness.
func (t *Table) Digest(now time.Time, after Cursor) ([]Heard, Cursor) {
	t.observe(now)
	t.digestTimes[t.self] = now
	t.prune(now)
	if after.Run != t.cursor.Run {
		after = Cursor{}
	}
	var digest []Heard
	for _, r := range t.records {
		if r.receivedNumber > after.Number {
			digest = append(digest, r.digestLine(now, after))
		}
	}
	sortDigest(digest)
	return digest, t.cursor
}

// prune drops what has been silent for recordTTL.
func (t *Table) prune(now time.Time) {
	if now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	for k, r := range t.records {
		if now.Sub(r.report.HeardAt) > recordTTL {
			delete(t.records, k)
		}
	}
	for id, at := range t.digestTimes {
		if now.Sub(at) > recordTTL {
			delete(t.digestTimes, id)
		}
	}
}

func (r *record) digestLine(now time.Time, after Cursor) Heard {
	h := r.report.Heard
	h.AgeMillis = now.Sub(r.report.HeardAt).Milliseconds()
	h.Detail = nil
	if r.detailNumber > after.Number {
		h.Detail = r.report.Known
	}
	return h
}

// take records one line and returns its record, or nil when it is older than
// what is known.
func (t *Table) apply(heardAt time.Time, source string, h Heard) *record {
	k := key{h.Kind, h.ID}
	r, known := t.records[k]
	if !known && len(t.records) >= maxRecords {
		return nil
	}
	if !known {
		r = &record{retired: make(map[string]uint64)}
		t.records[k] = r
		r.reset(heardAt, source, h, t.interval)
		return r
	}
	if r.report.Incarnation == h.Incarnation {
		if h.Sequence <= r.report.Sequence {
			return nil
		}
		r.advance(heardAt, source, h)
		return r
	}
	if !r.isReplacedBy(heardAt, h) {
		return nil
	}
	r.retire()
	r.reset(heardAt, source, h, t.interval)
	return r
}

// succeeds tells whether h comes from an incarnation that replaces the present
// one.
//
// Failure: a copy of an announcement of the incarnation before the present one
// arrives late, and the VM looks restarted. Where the start is told, it decides:
// one VM runs one backend server, so the one that started last is the present
// one, however late the other's announcement arrives. Elsewhere a retired
// incarnation is believed only when it goes on announcing while the present one is
// silent, and an unknown one only when it was heard after the present one.
func (r *record) isReplacedBy(heardAt time.Time, h Heard) bool {
	if h.StartedMillis != r.report.StartedMillis {
		return h.StartedMillis > r.report.StartedMillis
	}
	last, retired := r.retired[h.Incarnation]
	if retired {
		return h.Sequence > last && heardAt.Sub(r.report.HeardAt) > retiredSilence
	}
	return heardAt.After(r.report.HeardAt)
}

func (r *record) retire() {
	id := r.report.Incarnation
	if _, ok := r.retired[id]; !ok {
		r.retiredOrder = append(r.retiredOrder, id)
	}
	r.retired[id] = r.report.Sequence
	for len(r.retiredOrder) > maxRetired {
		delete(r.retired, r.retiredOrder[0])
		r.retiredOrder = r.retiredOrder[1:]
	}
}

func (r *record) reset(heardAt time.Time, source string, h Heard, interval time.Duration) {
	r.report = Report{
		Heard: h, HeardAt: heardAt, Source: source,
		FirstHeard: heardAt, FirstSequence: h.Sequence, Gap: interval,
	}
	r.updateDetail(h.Detail)
}

func (r *record) advance(heardAt time.Time, source string, h Heard) {
	steps := h.Sequence - r.report.Sequence
	if gap := heardAt.Sub(r.report.HeardAt); gap > 0 {
		each := float64(gap) / float64(steps)
		r.report.Gap = time.Duration((1-gapWeight)*float64(r.report.Gap) + gapWeight*each)
	}
	r.report.Heard = h
	r.report.Source = source
	if heardAt.After(r.report.HeardAt) {
		r.report.HeardAt = heardAt
	}
	r.updateDetail(h.Detail)
}

func (r *record) updateDetail(d *Detail) {
	if d == nil {
		return
	}
	if r.report.Known == nil || !r.report.Known.equal(d) {
		r.detailChanged = true
	}
	r.report.Known = d
}
