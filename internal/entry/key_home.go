package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/httphead"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Times of calls to a key's home and holder.
const (
	// homeTimeout is the time limit of a call to the home. Past it the request runs here, as if
	// no entry held its key.
	homeTimeout = 300 * time.Millisecond
	// holderGap is how long a holder's stream may be silent. The holder sends a line at least
	// every holderHeartbeat.
	holderGap       = 2 * time.Second
	holderHeartbeat = 500 * time.Millisecond
	// holderTries is how often a request that loses its holder asks the home again.
	holderTries = 3
)

// answeredByHolder reports whether the job got its answer from another entry that holds its
// key. Otherwise this entry is the holder and the job runs here.
func (s *Server) answeredByHolder(j *job) (bool, *failure.Error) {
	if j.key == "" || j.nonIdempotent {
		return false, nil
	}
	for range holderTries {
		reply, err := s.holdKey(j)
		if err != nil {
			j.lines.Info("event", "home_unreachable", "request", j.id, "err", err)
			j.begun = true
			return false, nil
		}
		j.begun = j.begun || reply.Begun
		switch {
		case reply.Reused:
			return false, failure.New(failure.TypeIdempotencyKeyReused, "the idempotency key belongs to another request").WithRan(failure.RanNo)
		case reply.Holder == s.o.ID:
			j.isHolder = true
			return false, nil
		}
		j.lines.Info("event", "attach", "request", j.id, "to", reply.Holder, "reason", "holds the idempotency key")
		if done, e := s.readHolder(j, reply.Holder); done {
			return true, e
		}
		j.begun = true
		s.freeKey(j, reply.Holder)
	}
	return false, nil
}

// holdKey asks the home of the job's key for its holder. An entry that is the home itself
// answers locally.
func (s *Server) holdKey(j *job) (*noderpc.HoldReply, error) {
	r := &noderpc.HoldRequest{
		ClusterId: s.o.Follower.Board().ClusterID, Key: j.key, Body: j.fingerprint, Entry: s.o.ID, Job: j.id,
		LifetimeMs: (time.Until(j.deadline) + keptFor).Milliseconds(),
	}
	client, err := s.homeClient(j.key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(j.ctx, homeTimeout)
	defer cancel()
	reply, err := client.Hold(ctx, r)
	return reply, errors.Trace(err)
}

// releaseKey reports to the home how the run ended. A resend that arrives before the home knows
// attaches here and gets the same result.
func (s *Server) releaseKey(j *job, complete, begun bool) {
	if !j.isHolder {
		return
	}
	client, err := s.homeClient(j.key)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), homeTimeout)
	defer cancel()
	_, err = client.Release(ctx, &noderpc.ReleaseRequest{
		ClusterId: s.o.Follower.Board().ClusterID, Key: j.key, Entry: s.o.ID, Job: j.id, Whole: complete, Begun: begun,
	})
	if err != nil {
		// The key stays held until its lifetime ends, and resends attach to this entry.
		j.lines.Info("event", "key_not_released", "request", j.id, "whole", complete, "begun", begun, "err", err)
	}
}

// freeKey frees a key whose holder could not be read.
func (s *Server) freeKey(j *job, holder string) {
	client, err := s.homeClient(j.key)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(j.ctx, homeTimeout)
	defer cancel()
	_, err = client.Release(ctx, &noderpc.ReleaseRequest{
		ClusterId: s.o.Follower.Board().ClusterID, Key: j.key, Entry: holder, Begun: true,
	})
	if err != nil {
		// The home still names the lost holder. The job asks it once more, or runs here.
		j.lines.Info("event", "key_not_freed", "request", j.id, "holder", holder, "err", err)
	}
}

// ErrNoEntries is returned when no entry is registered.
const ErrNoEntries = errors.ConstError("no entry is registered")

func (s *Server) homeClient(key string) (noderpc.Entries, error) {
	entries := s.o.Follower.Board().Entries
	id := homeOf(key, entries)
	if id == "" {
		return nil, errors.Trace(ErrNoEntries)
	}
	return s.entryClient(id, entries[id]), nil
}

// maxEntryReplyBytes bounds an entry's reply to a call: some names and numbers.
const maxEntryReplyBytes = 64 << 10

// entryClient returns the client of an entry. The client of this entry calls it directly.
func (s *Server) entryClient(id string, e blackboard.Entry) noderpc.Entries {
	if id == s.o.ID {
		return localHome{s}
	}
	return noderpc.NewEntriesProtobufClient("http://"+e.PeerAddress, bounded.Client(s.o.Peers, maxEntryReplyBytes, s.o.Logger))
}

// localHome is this entry as the home of keys.
type localHome struct{ s *Server }

// Hold returns the holder of a key; the caller becomes the holder if there is none.
func (h localHome) Hold(_ context.Context, r *noderpc.HoldRequest) (*noderpc.HoldReply, error) {
	h.s.holdersMu.Lock()
	defer h.s.holdersMu.Unlock()
	got := h.s.holders.hold(time.Now(), r.Key, r.Body, r.Entry, r.Job, time.Duration(r.LifetimeMs)*time.Millisecond)
	return &noderpc.HoldReply{Holder: got.entry, Reused: got.reused, Begun: got.begun}, nil
}

// Release records how a holder's run ended.
func (h localHome) Release(_ context.Context, r *noderpc.ReleaseRequest) (*noderpc.ReleaseReply, error) {
	h.s.holdersMu.Lock()
	defer h.s.holdersMu.Unlock()
	h.s.holders.release(time.Now(), r.Key, r.Entry, r.Job, r.Whole, r.Begun)
	return &noderpc.ReleaseReply{}, nil
}

// KeyHome returns the service that this entry offers its peers as the home of keys.
func (s *Server) KeyHome() KeyHomeService { return localHome{s} }

// KeyHomeService is the part of the entries' protocol that homes serve.
type KeyHomeService interface {
	Hold(context.Context, *noderpc.HoldRequest) (*noderpc.HoldReply, error)
	Release(context.Context, *noderpc.ReleaseRequest) (*noderpc.ReleaseReply, error)
	LendRetry(context.Context, *noderpc.LendRetryRequest) (*noderpc.LendRetryReply, error)
	Acquire(context.Context, *noderpc.AcquireRequest) (*noderpc.AcquireReply, error)
}

// PathAnswers is the path at which an entry serves its peers the answer of a key.
const PathAnswers = "/entry/v1/answers"

// part is one line of an answer as one entry sends it to another. An empty part is a heartbeat:
// the holder is still running the request.
type part struct {
	// At is the index of the first of Tokens.
	At     int            `json:"at,omitempty"`
	Tokens []string       `json:"tokens,omitempty"`
	End    bool           `json:"end,omitempty"`
	Finish string         `json:"finish,omitempty"`
	Failed *failure.Error `json:"failed,omitempty"`
	// RetryAfterMillis belongs to Failed.
	RetryAfterMillis int64              `json:"retry_after_ms,omitempty"`
	Service          *serviceAnswerPart `json:"service,omitempty"`
}

func (p part) isHeartbeat() bool { return len(p.Tokens) == 0 && !p.End && p.Failed == nil }

// serviceAnswerPart is a plain service's complete answer.
type serviceAnswerPart struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// ServeAnswers streams the answer of a key that this entry holds to a peer, from the start and
// as it grows.
func (s *Server) ServeAnswers(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	j, ok := s.jobs.join(key)
	switch {
	case !ok && s.withdrawals.has(key):
		failure.Write(w, failure.New(failure.TypeInProgress, "this entry is withdrawing its claim of the key"))
		return
	case !ok:
		failure.Write(w, failure.New(failure.TypeNotFound, "this entry does not hold the key"))
		return
	}
	defer s.detach(j)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	encoder := json.NewEncoder(w)
	for from := 0; ; {
		ctx, cancel := context.WithTimeout(r.Context(), holderHeartbeat)
		p, err := j.answer.wait(ctx, from)
		cancel()
		if r.Context().Err() != nil {
			return
		}
		line := part{}
		if err == nil {
			line = partOf(j, p, from)
		}
		if encoder.Encode(line) != nil || line.End || line.Failed != nil {
			return
		}
		from += len(p.tokens)
		_ = http.NewResponseController(w).Flush()
	}
}

func partOf(j *job, p answerUpdate, from int) part {
	line := part{At: from, Tokens: p.tokens, Finish: p.finish, Failed: p.failed}
	line.End = p.done && p.failed == nil
	if p.failed != nil {
		line.RetryAfterMillis = p.failed.RetryAfter.Milliseconds()
	}
	if line.End && j.service != nil {
		line.Service = &serviceAnswerPart{Status: j.service.status, Header: j.service.header, Body: j.service.body}
	}
	return line
}

// readHolder reads the answer from the entry that holds the key. It returns false if the holder
// was lost before the end. The tokens read so far stay, and the job resumes from there.
func (s *Server) readHolder(j *job, holder string) (bool, *failure.Error) {
	entry, ok := s.o.Follower.Board().Entries[holder]
	if !ok {
		return false, nil
	}
	w := newWatchdog(j.ctx, progressTimeouts{header: holderGap, firstToken: holderGap, gap: holderGap})
	defer w.stop()
	address := "http://" + entry.PeerAddress + PathAnswers + "?key=" + url.QueryEscape(j.key)
	request, err := http.NewRequestWithContext(w.ctx, http.MethodGet, address, nil)
	if err != nil {
		return false, nil
	}
	response, err := bounded.Client(s.o.Peers, maxHolderBytes, s.o.Logger).Do(request)
	if err != nil {
		return false, nil
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false, nil
	}
	return readParts(w, j, response)
}

// maxPart is the longest line of a peer's answer, in bytes: a plain service's complete answer
// in base64, and its header.
const maxPart = 2 * maxServiceAnswer

const (
	// partOverhead is the length of a line with one token beside its text, in bytes.
	partOverhead = 64
	// jsonGrowth is how much longer a text may be in JSON: a control character takes six bytes.
	jsonGrowth = 6
	// maxHolderBytes bounds all lines of a peer's answer, in bytes: the longest answer in lines of one
	// token. The heartbeats are a thousandth of it.
	maxHolderBytes = maxTokens*partOverhead + maxAnswerBytes*jsonGrowth
	// maxHeartbeats bounds the heartbeats of a holder: those of the longest request.
	maxHeartbeats = int(maxTimeout / holderHeartbeat)
)

func readParts(w *watchdog, j *job, response *http.Response) (bool, *failure.Error) {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxPart)
	heartbeats := 0
	for lines.Scan() {
		w.progress(true)
		var p part
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			return false, nil
		}
		if err := j.checkPart(p); err != nil {
			j.lines.Info("event", "holder_dropped", "request", j.id, "reason", err.Error())
			return false, nil
		}
		if p.isHeartbeat() {
			heartbeats++
		}
		if !j.addPart(p) || heartbeats > maxHeartbeats {
			j.lines.Info("event", "holder_dropped", "request", j.id, "reason", "its answer exceeds the requested length",
				"tokens", j.answer.length(), "heartbeats", heartbeats)
			return false, nil
		}
		if p.Failed != nil {
			p.Failed.RetryAfter = time.Duration(p.RetryAfterMillis) * time.Millisecond
			return true, p.Failed
		}
		if p.End {
			return true, nil
		}
	}
	return false, nil
}

// errPart is returned for a line of a holder that belongs to no answer to the request.
const errPart = errors.ConstError("its answer is none to this request")

// checkPart returns an error for a line whose answer must not be passed on.
func (j *job) checkPart(p part) error {
	switch {
	case j.service == nil && p.Service == nil:
		return nil
	case j.service == nil, p.End && p.Service == nil, len(p.Tokens) > 0:
		return errors.Trace(errPart)
	case p.Service == nil:
		return nil
	}
	return httphead.CheckFinal(p.Service.Status, p.Service.Header)
}

// addPart adds the tokens that the job does not have yet. It may have read some from an earlier
// holder. It returns false at the first token over the requested length.
func (j *job) addPart(p part) bool {
	for i, text := range p.Tokens {
		if p.At+i != j.answer.length() {
			continue
		}
		if j.exceedsLength(text) {
			return false
		}
		j.answer.append(text)
	}
	if p.End {
		j.finish = p.Finish
	}
	if p.Service != nil {
		j.service.status, j.service.header, j.service.body = p.Service.Status, p.Service.Header, p.Service.Body
	}
	return true
}
