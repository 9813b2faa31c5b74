// Package evidence records the newest announcement of each backend server: its
// content, the process that received it, and the time of receipt.
//
// Each entry and each control process holds one Table. A backend server announces
// itself to any entry. Entries exchange digests of the announcements that they
// received, so each process knows the age of the newest announcement of each backend
// server. The package has no I/O and no clock: callers pass the current time, which
// must be monotonic. A Table is not safe for concurrent use.
package evidence

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// The intervals of the exchange depend on each other. The newest state of a VM waits
// at most AnnounceInterval at the engine and DigestInterval at the entry that
// receives its announcement. If one announcement is lost, its age at another entry is
// at most twice AnnounceInterval plus DigestInterval: 1.1 s. If one frame is lost on
// the network, its age is at most AnnounceInterval plus DigestInterval plus a
// retransmission of about 200 ms: 0.9 s. Both are below RoutableAge and leave 100 ms
// for transmission. A longer DigestInterval would save frames, but the loss of one
// announcement would close routes.
const (
	// AnnounceInterval is the default that entries return as
	// AnnounceReply.IntervalMillis.
	AnnounceInterval = 400 * time.Millisecond
	// DigestInterval is the time between two digests that a process sends to a peer.
	DigestInterval = 300 * time.Millisecond
	// ObserveInterval is the longest time between two calls that a running process
	// makes to its table.
	ObserveInterval = 200 * time.Millisecond
	// routableIntervals is RoutableAge as a number of announcement intervals.
	routableIntervals = 3
	// RoutableAge bounds the age of the evidence that a member of a group is
	// alive. Entries may still route to a member for this long after its death. A
	// shorter bound would stop routing at each lost announcement.
	RoutableAge = routableIntervals * AnnounceInterval
	// MaxDigestAge is the maximum age of a peer's last digest for the peer to count as
	// connected. It tolerates the loss of three consecutive digests.
	MaxDigestAge = 1 * time.Second
)

const (
	// pauseGap is the time between two calls from which on this process is assumed
	// to have been paused: a running process does not miss ObserveInterval five times.
	pauseGap = 1 * time.Second
	// resumeSettle is the time after a pause during which direct announcements are
	// not considered fresh.
	resumeSettle = 1 * time.Second
	// retiredSilence is how long the current incarnation must be silent before a
	// retired incarnation is accepted as current again.
	retiredSilence = 3 * time.Second
	// maxRetired bounds the retired incarnations remembered for one backend server.
	maxRetired = 4
	// maxRecords bounds the backend servers in a table: more than ten times the 710
	// runners of the target size. Without it, a client that invents ids could exhaust
	// the memory.
	maxRecords = 8192
	// recordTTL is how long a silent backend server is kept, and pruneInterval the
	// time between two checks for expired records.
	recordTTL     = time.Hour
	pruneInterval = time.Minute
	// gapWeight is the weight of the newest interval in Report.Gap, an
	// exponentially weighted average.
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

// DigestLine is one line of a digest: the newest announcement of one backend server that
// reached the sender directly.
type DigestLine struct {
	Kind        backend.Kind `json:"kind"`
	ID          string       `json:"id"`
	Incarnation string       `json:"incarnation"`
	// StartedMillis is the start time of the incarnation, in Unix milliseconds by
	// the clock of its host; 0 if unknown.
	StartedMillis int64         `json:"started_ms,omitempty"`
	Sequence      uint64        `json:"sequence"`
	Group         string        `json:"group,omitempty"`
	Epoch         uint64        `json:"epoch,omitempty"`
	Phase         backend.Phase `json:"phase,omitempty"`
	// AgeMillis is the age of the announcement when the sender made the digest.
	AgeMillis int64 `json:"age_ms"`
	Leaving   bool  `json:"leaving,omitempty"`
	// ColdMillis is the rest of the backend server's slow-start period when the
	// announcement was received.
	ColdMillis  int64         `json:"cold_ms,omitempty"`
	Unreachable []string      `json:"unreachable,omitempty"`
	Load        *backend.Load `json:"load,omitempty"`
	// Detail is nil if it has not changed since the receiver's cursor.
	Detail *Detail `json:"detail,omitempty"`
}

// Report is the state of one backend server in a Table.
type Report struct {
	DigestLine
	// LatestDetail is the newest Detail; nil if none has arrived yet.
	LatestDetail *Detail
	// ReceivedAt is a lower bound, by this process's clock, for the time at which Source
	// received the announcement.
	ReceivedAt time.Time
	// Source is the process that received the announcement directly.
	Source string
	// FirstReceivedAt and FirstSequence belong to the first announcement of this
	// incarnation that arrived here.
	FirstReceivedAt time.Time
	FirstSequence   uint64
	// Gap is the smoothed interval between two announcements.
	Gap time.Duration
}

// ColdUntil returns the end of the slow-start period that the backend server announced.
// The time is in the past if the period is over or none was announced.
func (r *Report) ColdUntil() time.Time {
	return r.ReceivedAt.Add(time.Duration(r.ColdMillis) * time.Millisecond)
}

type key struct {
	kind backend.Kind
	id   string
}

type record struct {
	report Report
	// retired maps each earlier incarnation to its last sequence. retiredOrder lists
	// them in the order in which they were retired.
	retired      map[string]uint64
	retiredOrder []string
	// receivedNumber and detailNumber are the values of Table.cursor.Number at the
	// last direct announcement and at the last change of the detail.
	receivedNumber uint64
	detailNumber   uint64
	detailChanged  bool
}

// Cursor is a position in the digests of a table, up to which a peer has received
// them. The zero Cursor stands before the first.
type Cursor struct {
	// Run identifies one start of the sending process.
	Run uint64 `json:"run"`
	// Number counts the direct announcements of the run.
	Number uint64 `json:"number"`
}

// Table holds the evidence of one process. Create it with NewTable.
type Table struct {
	self string
	// interval is the time between two announcements of a backend server.
	interval time.Duration
	// cursor counts the direct announcements of this run.
	cursor      Cursor
	records     map[key]*record
	digestTimes map[string]time.Time
	lastCall    time.Time
	prunedAt    time.Time
	// distrustUntil and lastCallBeforePause are set when the process resumes after a
	// pause, see observe.
	distrustUntil       time.Time
	lastCallBeforePause time.Time
}

// NewTable returns an empty table of the process whose entry id is self. run must
// differ for each start of that process.
func NewTable(self string, run uint64) *Table {
	return &Table{self: self, interval: AnnounceInterval, cursor: Cursor{Run: run}, records: make(map[key]*record), digestTimes: make(map[string]time.Time)}
}

// SetInterval sets the time between two announcements of a backend server. The
// default is AnnounceInterval.
func (t *Table) SetInterval(d time.Duration) { t.interval = d }

// Interval returns the time between two announcements of a backend server.
func (t *Table) Interval() time.Duration { return t.interval }

// RoutableAge returns the maximum age of the evidence that a member is alive. It is
// the constant RoutableAge scaled to the interval of this table.
func (t *Table) RoutableAge() time.Duration { return routableIntervals * t.interval }

// RecordDeparture records that a backend server has announced its departure, so that it gets no
// new work. It returns false if is matches no known incarnation.
//
// A departure carries no sequence. RecordDeparture assigns one far above those in use, so that
// a delayed announcement does not make the server available again.
func (t *Table) RecordDeparture(now time.Time, source string, is func(incarnation string) bool) bool {
	for _, r := range t.records {
		if !is(r.report.Incarnation) {
			continue
		}
		h := r.report.DigestLine
		h.Leaving = true
		h.Sequence += departureStep
		h.Detail = r.report.LatestDetail
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

// departureStep is added to the last sequence to form that of a departure. It exceeds
// the number of announcements that a process makes in a year.
const departureStep = 1 << 32

// observe detects that the process was paused between two calls.
//
// Failure: an entry is paused for ten seconds and a member dies meanwhile. The
// member's last announcements wait in the entry's socket buffers. Read after the
// pause, they would make the dead member appear alive for RoutableAge. Until the
// buffers have been drained, which takes far less than resumeSettle, direct
// announcements are therefore dated to the last call before the pause.
func (t *Table) observe(now time.Time) {
	if !t.lastCall.IsZero() && now.Sub(t.lastCall) > pauseGap {
		t.distrustUntil = now.Add(resumeSettle)
		t.lastCallBeforePause = t.lastCall
	}
	if now.After(t.lastCall) {
		t.lastCall = now
	}
}

// Record records an announcement that reached this process directly.
func (t *Table) Record(now time.Time, source string, a backend.Announcement) {
	t.observe(now)
	receivedAt := now
	if now.Before(t.distrustUntil) {
		receivedAt = t.lastCallBeforePause
	}
	h := DigestLine{
		Kind: a.Kind, ID: a.ID, Incarnation: a.Incarnation, StartedMillis: a.StartedMillis, Sequence: a.Sequence,
		Group: a.Group, Epoch: a.Epoch, Phase: a.Phase, Leaving: a.Leaving, ColdMillis: a.ColdMillis,
		Unreachable: a.Unreachable, Load: a.Load,
		Detail: &Detail{
			Address: a.Address, DataCentre: a.DataCentre, FabricDomain: a.FabricDomain,
			Service: a.Service, Accelerators: a.Accelerators, Model: a.Model, Weights: a.Weights,
		},
	}
	r := t.apply(receivedAt, source, h)
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

// Merge records the digest of a peer. asked is a time of this process's clock before
// the peer made the digest, such as the time of the request for it. It must not be the
// time of arrival.
//
// Failure: a digest is delayed on the network for seconds, and its lines appear fresh
// on arrival. The peer received each line no earlier than asked minus the line's age,
// however long the answer took. A line dated from asked therefore never appears
// fresher than it is.
func (t *Table) Merge(asked time.Time, source string, digest []DigestLine) {
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

// Digest returns the newest announcements that reached this process directly after a
// peer's cursor, and the peer's next cursor. If an answer is lost, the peer asks again
// with its old cursor and misses nothing. Digest also records now as the time of this
// process's own digest, see Witnesses.
func (t *Table) Digest(now time.Time, after Cursor) ([]DigestLine, Cursor) {
	t.observe(now)
	t.digestTimes[t.self] = now
	t.prune(now)
	if after.Run != t.cursor.Run {
		after = Cursor{}
	}
	var digest []DigestLine
	for _, r := range t.records {
		if r.receivedNumber > after.Number {
			digest = append(digest, r.digestLine(now, after))
		}
	}
	sortDigest(digest)
	return digest, t.cursor
}

// prune drops backend servers and peers that have been silent for recordTTL.
func (t *Table) prune(now time.Time) {
	if now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	for k, r := range t.records {
		if now.Sub(r.report.ReceivedAt) > recordTTL {
			delete(t.records, k)
		}
	}
	for id, at := range t.digestTimes {
		if now.Sub(at) > recordTTL {
			delete(t.digestTimes, id)
		}
	}
}

func (r *record) digestLine(now time.Time, after Cursor) DigestLine {
	h := r.report.DigestLine
	h.AgeMillis = now.Sub(r.report.ReceivedAt).Milliseconds()
	h.Detail = nil
	if r.detailNumber > after.Number {
		h.Detail = r.report.LatestDetail
	}
	return h
}

// apply records one line and returns its record. It returns nil if the line is older
// than the record or the table is full.
func (t *Table) apply(receivedAt time.Time, source string, h DigestLine) *record {
	k := key{h.Kind, h.ID}
	r, known := t.records[k]
	if !known && len(t.records) >= maxRecords {
		return nil
	}
	if !known {
		r = &record{retired: make(map[string]uint64)}
		t.records[k] = r
		r.reset(receivedAt, source, h, t.interval)
		return r
	}
	if r.report.Incarnation == h.Incarnation {
		if h.Sequence <= r.report.Sequence {
			return nil
		}
		r.advance(receivedAt, source, h)
		return r
	}
	if !r.isReplacedBy(receivedAt, h) {
		return nil
	}
	r.retire()
	r.reset(receivedAt, source, h, t.interval)
	return r
}

// isReplacedBy reports whether h comes from an incarnation that replaces the current
// one.
//
// Failure: a delayed copy of an announcement of the previous incarnation arrives, and
// the VM appears to have restarted. Start times, if announced, decide: one VM runs one
// backend server, so the incarnation that started last is the current one, however
// late announcements of others arrive. Without start times, a retired incarnation is
// accepted only if it keeps announcing while the current one is silent, and an
// unknown one only if it was received after the current one.
func (r *record) isReplacedBy(receivedAt time.Time, h DigestLine) bool {
	if h.StartedMillis != r.report.StartedMillis {
		return h.StartedMillis > r.report.StartedMillis
	}
	last, retired := r.retired[h.Incarnation]
	if retired {
		return h.Sequence > last && receivedAt.Sub(r.report.ReceivedAt) > retiredSilence
	}
	return receivedAt.After(r.report.ReceivedAt)
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

func (r *record) reset(receivedAt time.Time, source string, h DigestLine, interval time.Duration) {
	r.report = Report{
		DigestLine: h, ReceivedAt: receivedAt, Source: source,
		FirstReceivedAt: receivedAt, FirstSequence: h.Sequence, Gap: interval,
	}
	r.updateDetail(h.Detail)
}

func (r *record) advance(receivedAt time.Time, source string, h DigestLine) {
	steps := h.Sequence - r.report.Sequence
	if gap := receivedAt.Sub(r.report.ReceivedAt); gap > 0 {
		each := float64(gap) / float64(steps)
		r.report.Gap = time.Duration((1-gapWeight)*float64(r.report.Gap) + gapWeight*each)
	}
	r.report.DigestLine = h
	r.report.Source = source
	if receivedAt.After(r.report.ReceivedAt) {
		r.report.ReceivedAt = receivedAt
	}
	r.updateDetail(h.Detail)
}

func (r *record) updateDetail(d *Detail) {
	if d == nil {
		return
	}
	if r.report.LatestDetail == nil || !r.report.LatestDetail.equal(d) {
		r.detailChanged = true
	}
	r.report.LatestDetail = d
}
