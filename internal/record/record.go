// Package record stores the records that make non-idempotent requests run at most
// once.
//
// An entry claims a request before it sends the first byte to a backend server. A
// majority of the control replicas must accept the claim. While the record or its
// tombstone exists, no other claim of the same key is granted. The request therefore
// runs at most once, regardless of failures or retries of entries, leaders or callers.
package record

import (
	"encoding/json"
	"sort"
	"strings"

	"github.com/juju/errors"
)

// State is the state of a claimed request.
type State string

// The states of a record. A Claimed request may have run. A Done request has run and
// has an answer, which may no longer be kept. An Unknown request was claimed, but its
// entry reported no outcome in time.
const (
	Claimed State = "claimed"
	Done    State = "done"
	Unknown State = "unknown"
)

// Limits of the table.
const (
	// AnswerLifetimeMillis is the time for which an answer is kept for resends.
	AnswerLifetimeMillis = 10 * 60 * 1000
	// TombstoneLifetimeMillis is the time for which a key is kept after its request
	// ended, also when the answer is no longer kept. A later resend runs again, which
	// the operators' documentation states.
	TombstoneLifetimeMillis = 24 * 60 * 60 * 1000
	// MaxAnswerBytes is the size limit of one kept answer. A longer answer is not
	// kept: the record becomes a tombstone at once, and a resend learns only that the
	// request ran.
	MaxAnswerBytes = 256 << 10
	// MaxTotalAnswerBytes is the size limit of all kept answers. Beyond it, the records
	// with the oldest answers become tombstones.
	MaxTotalAnswerBytes = 32 << 20
	// MaxRecords is the most records in the table. A full table refuses claims as
	// not run. It does not drop a tombstone before the end of its lifetime.
	//
	// A snapshot of this many records is encoded in a fraction of the election
	// timeout (docs/CAPACITY.md).
	MaxRecords = 100_000
	// WorkspaceShareDivisor limits one workspace to MaxRecords/WorkspaceShareDivisor records.
	WorkspaceShareDivisor = 2
	// MaxClockStepMillis is the most by which one Expire advances the table's clock. It is
	// twice the time between two Expires, so that the clock catches up after an
	// outage.
	MaxClockStepMillis = 10_000
)

// Answer is the answer that the caller received.
type Answer struct {
	Status int `json:"status"`
	// Header holds the header fields of a plain service's answer.
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// size returns the size of the answer's header and body in bytes.
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

// Shortened returns the answer, or in place of one that is too long to be kept an answer without
// content that is too long as well. The record of either becomes a tombstone at once, and no
// command exceeds the size limit of the log.
func (a *Answer) Shortened() *Answer {
	if a.size() <= MaxAnswerBytes {
		return a
	}
	return &Answer{Status: a.Status, Body: make([]byte, MaxAnswerBytes+1)}
}

// Record is one claimed request.
type Record struct {
	// Key is the workspace, a slash and the idempotency key.
	Key string `json:"key"`
	// BodyHash is the hash of the request's body. A claim of the same key with another
	// body is refused.
	BodyHash string `json:"body"`
	// Entry is the identity of the entry that claimed the request.
	Entry string `json:"entry"`
	// Attempt is the identity of the attempt that holds the claim.
	Attempt string  `json:"attempt"`
	State   State   `json:"state"`
	Answer  *Answer `json:"answer,omitempty"`
	// DeadlineMillis is the time, on the table's clock, after which a claim without an
	// outcome becomes Unknown.
	DeadlineMillis int64 `json:"deadline_ms"`
	// EndedMillis is the time, on the table's clock, at which the record became Done
	// or Unknown.
	EndedMillis int64 `json:"ended_ms,omitempty"`
	// checkAtMillis is the time of the next check by Expire, on the table's clock.
	checkAtMillis int64
}

// Table is the replicated state machine of records. It is not safe for
// concurrent use.
type Table struct {
	records map[string]*Record
	// answeredKeys lists the keys that still hold an answer, oldest first.
	answeredKeys []string
	// answerBytes is the size in bytes of all kept answers.
	answerBytes int
	// due orders the records by the time of their next check: a claim at its
	// deadline, a tombstone at the end of its lifetime. Expire visits only the records
	// that are due. A visit of all records of a full table would delay the log.
	due dueHeap
	// clockMillis is the table's clock, in milliseconds, against which deadlines and
	// lifetimes are checked. It is zero before the first Expire.
	//
	// Each Expire advances it by at most MaxClockStepMillis and never moves it back,
	// whichever replica leads. This guards against a leader whose clock is a day
	// ahead. With the leader's clock, every record would expire at once, and resent
	// requests would run again.
	clockMillis int64
	// recordsPerWorkspace holds the number of records of each workspace.
	recordsPerWorkspace map[string]int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]*Record), recordsPerWorkspace: make(map[string]int)}
}

// Command is one change of the table. Exactly one field is set.
type Command struct {
	Claim   *Claim   `json:"claim,omitempty"`
	Finish  *Finish  `json:"finish,omitempty"`
	Abandon *Abandon `json:"abandon,omitempty"`
	Expire  *Expire  `json:"expire,omitempty"`
}

// Claim requests permission to run a request. Its times are on the sender's clock. The
// table converts the time left until the deadline to its own clock.
type Claim struct {
	Key            string `json:"key"`
	BodyHash       string `json:"body"`
	Entry          string `json:"entry"`
	Attempt        string `json:"attempt"`
	DeadlineMillis int64  `json:"deadline_ms"`
	NowMillis      int64  `json:"now_ms"`
}

// Finish records the answer of the attempt that holds the claim. A nil Answer means
// that the outcome is unknown.
type Finish struct {
	Key       string  `json:"key"`
	Attempt   string  `json:"attempt"`
	Answer    *Answer `json:"answer,omitempty"`
	NowMillis int64   `json:"now_ms"`
}

// Abandon releases a claim. The entry sends it only if it sent nothing to a backend
// server, or if the backend server reported that it did not start the request.
type Abandon struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// Expire advances the table's clock. Claims past their deadline become Unknown,
// records with expired answers become tombstones, and expired tombstones are removed.
type Expire struct {
	NowMillis int64 `json:"now_ms"`
}

// Outcome is the result of a Command.
type Outcome struct {
	// Granted is set if a Claim, Finish or Abandon took effect. After a Claim, this
	// attempt and no other may send the request to a backend server.
	Granted bool `json:"granted"`
	// TableFull is set if the table or the workspace's part of it is full. Nothing was
	// recorded.
	TableFull bool `json:"full,omitempty"`
	// KeyReused is set if the key was claimed with another body.
	KeyReused bool `json:"reused,omitempty"`
	// State is the record's state after a Claim or Finish.
	State State `json:"state,omitempty"`
	// Entry, Attempt and Answer are those of a record that existed before a Claim. Attempt is
	// empty if an older control process leads.
	Entry   string  `json:"entry,omitempty"`
	Attempt string  `json:"attempt,omitempty"`
	Answer  *Answer `json:"answer,omitempty"`
}

// ErrMalformed is returned by DecodeSnapshot for data that is not a valid snapshot.
const ErrMalformed = errors.ConstError("malformed record data")

// EncodeCommand returns the command as log entry data.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Trace(err)
}

// Apply applies one command and returns its Outcome as JSON. It returns nil for data
// that is not a valid command.
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
		if t.isFullFor(c.Key) {
			return Outcome{TableFull: true}
		}
		r = &Record{
			Key: c.Key, BodyHash: c.BodyHash, Entry: c.Entry, Attempt: c.Attempt,
			State: Claimed, DeadlineMillis: t.now(c.NowMillis) + c.DeadlineMillis - c.NowMillis,
		}
		t.add(r)
		t.scheduleCheck(r)
		return Outcome{Granted: true, State: Claimed}
	}
	if r.BodyHash != c.BodyHash {
		return Outcome{KeyReused: true}
	}
	// The log may hold a claim twice, because the entry sent it again after a lost
	// answer. The attempt then still holds the claim.
	granted := r.State == Claimed && r.Attempt == c.Attempt
	return Outcome{Granted: granted, State: r.State, Entry: r.Entry, Attempt: r.Attempt, Answer: r.Answer}
}

// finish accepts an outcome only from the attempt that holds the claim. It also
// accepts a late answer for a claim that became Unknown, because that answer is still
// correct.
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
		t.answerBytes += f.Answer.size()
		t.answeredKeys = append(t.answeredKeys, f.Key)
	}
	for t.answerBytes > MaxTotalAnswerBytes {
		t.dropOldestAnswer()
	}
	return Outcome{Granted: true, State: Done}
}

func (t *Table) dropOldestAnswer() {
	r, ok := t.records[t.answeredKeys[0]]
	t.answeredKeys = t.answeredKeys[1:]
	if ok && r.Answer != nil {
		t.answerBytes -= r.Answer.size()
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

func (t *Table) expire(leaderMillis int64) {
	nowMillis := t.advanceClock(leaderMillis)
	t.due.popDue(nowMillis, func(atMillis int64, key string) {
		if r, ok := t.records[key]; ok && r.checkAtMillis == atMillis {
			t.expireOne(r, nowMillis)
		}
	})
	for len(t.answeredKeys) > 0 {
		r, ok := t.records[t.answeredKeys[0]]
		if ok && r.Answer != nil && nowMillis-r.EndedMillis < AnswerLifetimeMillis {
			return
		}
		t.dropOldestAnswer()
	}
}

func (t *Table) expireOne(r *Record, nowMillis int64) {
	if r.State == Claimed && nowMillis > r.DeadlineMillis {
		r.State = Unknown
		r.EndedMillis = nowMillis
	}
	if nowMillis > r.nextCheckMillis() {
		t.remove(r)
		return
	}
	t.scheduleCheck(r)
}

// advanceClock moves the table's clock towards the leader's clock and returns it.
func (t *Table) advanceClock(leaderMillis int64) int64 {
	if t.clockMillis == 0 {
		t.clockMillis = leaderMillis
	}
	t.clockMillis = max(t.clockMillis, min(leaderMillis, t.clockMillis+MaxClockStepMillis))
	return t.clockMillis
}

// now returns the table's clock in milliseconds, or the sender's clock before the
// first Expire.
func (t *Table) now(senderMillis int64) int64 {
	if t.clockMillis == 0 {
		return senderMillis
	}
	return t.clockMillis
}

// isFullFor reports whether the table has no capacity for a new key. A workspace that
// has used its part is refused, so that it cannot use up the capacity of all others.
func (t *Table) isFullFor(key string) bool {
	return len(t.records) >= MaxRecords || t.recordsPerWorkspace[workspaceOf(key)] >= MaxRecords/WorkspaceShareDivisor
}

// workspaceOf returns the part of a key before the first slash.
func workspaceOf(key string) string {
	workspace, _, _ := strings.Cut(key, "/")
	return workspace
}

func (t *Table) add(r *Record) {
	t.records[r.Key] = r
	t.recordsPerWorkspace[workspaceOf(r.Key)]++
}

func (t *Table) remove(r *Record) {
	delete(t.records, r.Key)
	workspace := workspaceOf(r.Key)
	t.recordsPerWorkspace[workspace]--
	if t.recordsPerWorkspace[workspace] == 0 {
		delete(t.recordsPerWorkspace, workspace)
	}
}

// scheduleCheck adds the record's next check to the due heap.
func (t *Table) scheduleCheck(r *Record) {
	r.checkAtMillis = r.nextCheckMillis()
	t.due.add(r.checkAtMillis, r.Key)
}

// nextCheckMillis returns the time after which the record's state changes without a
// command: the deadline of a claim or the end of a tombstone's lifetime.
func (r *Record) nextCheckMillis() int64 {
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

// snapshot is the JSON form of a Table.
type snapshot struct {
	Records []*Record `json:"records"`
	Ended   []string  `json:"ended"`
	Clock   int64     `json:"clock"`
}

// EncodeSnapshot returns the table as a snapshot.
func (t *Table) EncodeSnapshot() ([]byte, error) {
	s := snapshot{Ended: t.answeredKeys, Clock: t.clockMillis}
	for _, k := range t.keys() {
		s.Records = append(s.Records, t.records[k])
	}
	data, err := json.Marshal(s)
	return data, errors.Trace(err)
}

// DecodeSnapshot returns the table stored in a snapshot.
func DecodeSnapshot(data []byte) (*Table, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "records snapshot"), ErrMalformed)
	}
	t := NewTable()
	t.answeredKeys, t.clockMillis = s.Ended, s.Clock
	for _, r := range s.Records {
		t.add(r)
		t.scheduleCheck(r)
		if r.Answer != nil {
			t.answerBytes += r.Answer.size()
		}
	}
	return t, nil
}
