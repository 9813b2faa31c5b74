// Package record holds the at-most-once records of non-idempotent requests.
//
// A request is claimed here, on a majority of the control replicas, before
// its first byte is sent to a backend server. While the record or its
// tombstone lives, no other claim of the same key is granted, so the request
// runs at most once whatever entries, leaders or callers do.
package record

import (
	"encoding/json"
	"sort"
	"strings"

	"github.com/juju/errors"
)

// State is where a claimed request stands.
type State string

// The states of a record. Claimed may have run; Done has its answer; Unknown
// was claimed by an entry that never told the outcome.
const (
	Claimed State = "claimed"
	Done    State = "done"
	Unknown State = "unknown"
)

// Limits of the table.
const (
	// AnswerLifetimeMillis is how long an answer is kept for resends.
	AnswerLifetimeMillis = 10 * 60 * 1000
	// TombstoneLifetimeMillis is how long a key is remembered after its answer
	// is gone. A resend later than that runs anew: the operators' page says so.
	TombstoneLifetimeMillis = 24 * 60 * 60 * 1000
	// MaxAnswerBytes bounds one kept answer; a longer one is kept as a
	// tombstone at once, and a resend learns that the request ran.
	MaxAnswerBytes = 256 << 10
	// MaxAnswersBytes bounds all kept answers; the oldest become tombstones.
	MaxAnswersBytes = 32 << 20
	// MaxRecords bounds the table. When it is full of live records, claims are
	// refused as not run, rather than a tombstone dropped before its time.
	//
	// A snapshot of that many is encoded in a part of the election timeout
	// (docs/CAPACITY.md).
	MaxRecords = 100_000
	// WorkspaceParts is the part of the table, one in so many, that one
	// workspace may fill.
	WorkspaceParts = 2
	// MaxStepMillis is how far one Expire moves the table's clock: twice the
	// time between two of them, so that the clock catches up after an outage.
	MaxStepMillis = 10_000
)

// Answer is what the caller got.
type Answer struct {
	Status int `json:"status"`
	// Header is a plain service's header.
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// size is what the answer takes, in bytes.
func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Record is one claimed request.
type Record struct {
	// Key is the workspace and its idempotency key.
	Key string `json:"key"`
	// Body is the hash of the request's body: a key reused for another
	// request is refused.
	Body    string  `json:"body"`
	Entry   string  `json:"entry"`
	Attempt string  `json:"attempt"`
	State   State   `json:"state"`
	Answer  *Answer `json:"answer,omitempty"`
	// DeadlineMillis is when a claim without an outcome becomes Unknown.
	DeadlineMillis int64 `json:"deadline_ms"`
	// EndedMillis is when the record reached Done or Unknown.
	EndedMillis int64 `json:"ended_ms,omitempty"`
	// look is when Expire looks at the record next.
	look int64
}

// Table is the replicated state machine of records. It is not safe for
// concurrent use.
type Table struct {
	records map[string]*Record
	// ended lists the keys that still hold an answer, oldest first.
	ended  []string
	answer int
	// due orders the records by when Expire has to look at them next: a claim
	// at its deadline, a tombstone at the end of its lifetime. Expire looks at
	// those alone; visiting all of a full table would hold up the log.
	due dueHeap
	// clock is what lifetimes are counted in, in milliseconds; 0 before the
	// first Expire.
	//
	// Failure: a leader whose clock is a day ahead expires every record at
	// once, and resends of what has run are run again. The table's clock moves
	// by MaxStepMillis an Expire at most and never back, whoever leads.
	clock int64
	// held counts the records of each workspace.
	held map[string]int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]*Record), held: make(map[string]int)}
}

// Command is one change of the table; one field is set.
type Command struct {
	Claim   *Claim   `json:"claim,omitempty"`
	Finish  *Finish  `json:"finish,omitempty"`
	Abandon *Abandon `json:"abandon,omitempty"`
	Expire  *Expire  `json:"expire,omitempty"`
}

// Claim asks to run a request.
type Claim struct {
	Key            string `json:"key"`
	Body           string `json:"body"`
	Entry          string `json:"entry"`
	Attempt        string `json:"attempt"`
	DeadlineMillis int64  `json:"deadline_ms"`
	NowMillis      int64  `json:"now_ms"`
}

// Finish records the answer of the attempt that holds the claim, or, with no
// answer, that its outcome is unknown.
type Finish struct {
	Key       string  `json:"key"`
	Attempt   string  `json:"attempt"`
	Answer    *Answer `json:"answer,omitempty"`
	NowMillis int64   `json:"now_ms"`
}

// Abandon gives a claim back. The entry sends it only when surely nothing was
// sent to a backend server, or the backend server said it did not start.
type Abandon struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// Expire turns overdue claims into Unknown, old answers into tombstones, and
// drops old tombstones.
type Expire struct {
	NowMillis int64 `json:"now_ms"`
}

// Outcome is the result of a Claim.
type Outcome struct {
	// Granted says that this attempt, and no other, may dispatch.
	Granted bool `json:"granted"`
	// Full says that the table has no room; nothing was recorded.
	Full bool `json:"full,omitempty"`
	// Reused says that the key belongs to another body.
	Reused bool    `json:"reused,omitempty"`
	State  State   `json:"state,omitempty"`
	Entry  string  `json:"entry,omitempty"`
	Answer *Answer `json:"answer,omitempty"`
}

// ErrMalformed is returned for bytes that are no command or snapshot.
const ErrMalformed = errors.ConstError("malformed record data")

// Encode returns a command as it is written to the log.
func Encode(c Command) ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Trace(err)
}

// Apply applies one command and returns its Outcome as JSON.
func (t *Table) Apply(encoded []byte) []byte {
	var c Command
	if err := json.Unmarshal(encoded, &c); err != nil {
		return nil
	}
	result, err := json.Marshal(t.apply(c))
	if err != nil {
		return nil
	}
	return result
}

func (t *Table) apply(c Command) Outcome {
	switch {
	case c.Claim != nil:
		return t.claim(*c.Claim)
	case c.Finish != nil:
		return t.finish(*c.Finish)
	case c.Abandon != nil:
		return t.abandon(*c.Abandon)
	case c.Expire != nil:
		t.expire(c.Expire.NowMillis)
	}
	return Outcome{}
}

func (t *Table) claim(c Claim) Outcome {
	r, ok := t.records[c.Key]
	if !ok {
		if t.full(c.Key) {
			return Outcome{Full: true}
		}
		r = &Record{
			Key: c.Key, Body: c.Body, Entry: c.Entry, Attempt: c.Attempt,
			State: Claimed, DeadlineMillis: t.now(c.NowMillis) + c.DeadlineMillis - c.NowMillis,
		}
		t.add(r)
		t.schedule(r)
		return Outcome{Granted: true, State: Claimed}
	}
	if r.Body != c.Body {
		return Outcome{Reused: true}
	}
	// The log may hold one claim twice: the entry resent it after a lost
	// answer. The attempt that holds the claim still holds it.
	granted := r.State == Claimed && r.Attempt == c.Attempt
	return Outcome{Granted: granted, State: r.State, Entry: r.Entry, Answer: r.Answer}
}

// finish accepts the outcome of the claiming attempt alone. A late answer of a
// claim that became Unknown is still the true one, and is taken.
func (t *Table) finish(f Finish) Outcome {
	r, ok := t.records[f.Key]
	if !ok || r.Attempt != f.Attempt || r.State == Done {
		return Outcome{}
	}
	r.EndedMillis = t.now(f.NowMillis)
	if f.Answer == nil {
		r.State = Unknown
		return Outcome{Granted: true, State: Unknown}
	}
	r.State = Done
	if f.Answer.size() <= MaxAnswerBytes {
		r.Answer = f.Answer
		t.answer += f.Answer.size()
		t.ended = append(t.ended, f.Key)
	}
	for t.answer > MaxAnswersBytes {
		t.dropOldestAnswer()
	}
	return Outcome{Granted: true, State: Done}
}

func (t *Table) dropOldestAnswer() {
	r, ok := t.records[t.ended[0]]
	t.ended = t.ended[1:]
	if ok && r.Answer != nil {
		t.answer -= r.Answer.size()
		r.Answer = nil
	}
}

func (t *Table) abandon(a Abandon) Outcome {
	r, ok := t.records[a.Key]
	if !ok || r.Attempt != a.Attempt || r.State != Claimed {
		return Outcome{}
	}
	t.remove(r)
	return Outcome{Granted: true}
}

func (t *Table) expire(leaders int64) {
	now := t.advance(leaders)
	t.due.upTo(now, func(at int64, key string) {
		if r, ok := t.records[key]; ok && r.look == at {
			t.expireOne(r, now)
		}
	})
	for len(t.ended) > 0 {
		r, ok := t.records[t.ended[0]]
		if ok && r.Answer != nil && now-r.EndedMillis < AnswerLifetimeMillis {
			return
		}
		t.dropOldestAnswer()
	}
}

func (t *Table) expireOne(r *Record, now int64) {
	if r.State == Claimed && now > r.DeadlineMillis {
		r.State = Unknown
		r.EndedMillis = now
	}
	if now > r.nextLook() {
		t.remove(r)
		return
	}
	t.schedule(r)
}

// advance moves the table's clock towards the leader's and returns it.
func (t *Table) advance(leaders int64) int64 {
	if t.clock == 0 {
		t.clock = leaders
	}
	t.clock = max(t.clock, min(leaders, t.clock+MaxStepMillis))
	return t.clock
}

// now returns the table's clock, or the sender's before the first Expire.
func (t *Table) now(senders int64) int64 {
	if t.clock == 0 {
		return senders
	}
	return t.clock
}

// full tells whether there is no room for a key. A workspace that fills its
// part is refused before it takes the room of all others.
func (t *Table) full(key string) bool {
	return len(t.records) >= MaxRecords || t.held[workspaceOf(key)] >= MaxRecords/WorkspaceParts
}

// workspaceOf returns the part of a key before the first slash.
func workspaceOf(key string) string {
	workspace, _, _ := strings.Cut(key, "/")
	return workspace
}

func (t *Table) add(r *Record) {
	t.records[r.Key] = r
	t.held[workspaceOf(r.Key)]++
}

func (t *Table) remove(r *Record) {
	delete(t.records, r.Key)
	workspace := workspaceOf(r.Key)
	t.held[workspace]--
	if t.held[workspace] == 0 {
		delete(t.held, workspace)
	}
}

// schedule makes Expire look at the record again when it is due.
func (t *Table) schedule(r *Record) {
	r.look = r.nextLook()
	t.due.add(r.look, r.Key)
}

// nextLook is when the record's state changes by time alone.
func (r *Record) nextLook() int64 {
	if r.State == Claimed {
		return r.DeadlineMillis
	}
	return r.EndedMillis + TombstoneLifetimeMillis
}

func (t *Table) keys() []string {
	keys := make([]string, 0, len(t.records))
	for k := range t.records {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// Len returns the number of records, tombstones included.
func (t *Table) Len() int { return len(t.records) }

type snapshot struct {
	Records []*Record `json:"records"`
	Ended   []string  `json:"ended"`
	Clock   int64     `json:"clock"`
}

// Encode returns the table as a snapshot.
func (t *Table) Encode() ([]byte, error) {
	s := snapshot{Ended: t.ended, Clock: t.clock}
	for _, k := range t.keys() {
		s.Records = append(s.Records, t.records[k])
	}
	data, err := json.Marshal(s)
	return data, errors.Trace(err)
}

// Decode returns the table that a snapshot holds.
func Decode(data []byte) (*Table, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "records snapshot"), ErrMalformed)
	}
	t := NewTable()
	t.ended, t.clock = s.Ended, s.Clock
	for _, r := range s.Records {
		t.add(r)
		t.schedule(r)
		if r.Answer != nil {
			t.answer += r.Answer.size()
		}
	}
	return t, nil
}
