package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/citronstep/citronstep/internal/auth"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/requestlog"
)

// The headers that callers may send.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderClass          = "Citronstep-Class"
	HeaderNonIdempotent  = "Citronstep-Non-Idempotent"
	HeaderTimeout        = "Citronstep-Timeout-Ms"
	// HeaderRequestID is on each answer; a caller may not choose its value.
	HeaderRequestID = "Citronstep-Request-Id"
)

// Limits and defaults of a caller's request.
const (
	maxKeyLength = 256
	maxTimeout   = time.Hour
	maxTokens    = 1 << 20
	// bytesPerToken estimates the work of a prompt before an engine has counted its tokens.
	bytesPerToken = 4
	// defaultMaxTokens is the longest answer to a request that does not state max_tokens.
	defaultMaxTokens = 16
)

// job is one request while the entry processes it.
type job struct {
	id        string
	workspace string
	class     string
	// key is the workspace and the idempotency key; empty without an idempotency key.
	key string
	// fingerprint is a hash of the request's contents; empty for a forwarded request until
	// contentFingerprint has been called.
	fingerprint     string
	fingerprintOnce sync.Once
	// announcedTooLong is set if the last attempt failed as its answer announced a length over the limit.
	announcedTooLong atomic.Bool
	nonIdempotent    bool
	arrived          time.Time
	// firstSent is the latest time at which the caller can have sent the request first: its
	// arrival, or earlier for a resend.
	firstSent time.Time
	deadline  time.Time

	// model is the requested model, or the pool name of a plain service.
	model     string
	prompt    string
	maxTokens int
	extra     map[string]json.RawMessage
	prefix    []uint64

	// forward holds the request if it is forwarded unchanged; nil otherwise.
	forward *forwarding
	// maxAttempts limits the attempts; 0 stands for the entry's own limit.
	maxAttempts int

	// service holds the call if the request is for a plain service; nil otherwise.
	service *serviceCall

	answer *answer
	// mayHaveRun is set once an attempt of this job has run or may have run.
	mayHaveRun bool
	// lines logs the request.
	lines *requestlog.Lines
	// finish is the finish reason of a complete answer.
	finish string
	// isHolder is set if this entry holds the job's key. begun is set if an earlier run of the
	// key may have begun.
	isHolder, begun bool
	// replayed is set if the answer came from the at-most-once record.
	replayed bool
	// claimed is set if this job holds the at-most-once record of its key.
	claimed bool
	ctx     context.Context
	cancel  context.CancelCauseFunc

	// homes are the regions whose backend servers may serve the request; nil allows any.
	homes []string
	// reserve is the fraction of each target that this request leaves free for requests of
	// greater worth.
	reserve float64
	// held is the coordinator's grant of the current attempt; nil without one.
	held *heldGrant
	// arrivalConfig is the configuration revision that this entry held when the request arrived.
	arrivalConfig uint64
	// lastTarget is the target of the last attempt. noFurtherAttempt is why the decision on
	// retries allowed no other one.
	lastTarget       string
	noFurtherAttempt cutCause
	// isNextPaid is set if the retry budget has paid for the attempt after the current one.
	isNextPaid bool
	// tried lists the targets that failed this request.
	tried []string
	// attempts counts the attempts begun.
	attempts int
	// queued is the time from the arrival to the first attempt, firstToken the time from the
	// arrival to the first token.
	queued, firstToken time.Duration
	// withheld counts the attempts that were not sent, as their backend server had asked for no
	// request.
	withheld int
	// suspect is set if a backend server crashed while it ran the request.
	suspect bool
	// sharedParts holds the parts of the prompt that other requests may have in common.
	sharedParts []promptPart
	// sendRecord is that of the last attempt. isAlone is set if that ran in isolation, provesParts once
	// its answer shows that the parts of the prompt crash nothing.
	sendRecord
	isAlone, provesParts bool
	// replacement is the attempt that was sent before the last one ended and takes its place; nil if
	// there is none.
	replacement *forwardAttempt
	// retryGranted is the cause of crashes of which this job is a granted further run; "" if it is
	// none.
	retryGranted string
	// refusedFor is the cause of crashes for which the job was refused.
	refusedFor blackboard.Suspect
	// countsAsDemand is set if the job is a first try for a model whose demand is observed.
	countsAsDemand bool
}

// tokens estimates the work of the request, in tokens.
func (j *job) tokens() int {
	if j.forward != nil {
		return j.forward.tokens
	}
	return len(j.prompt)/bytesPerToken + j.maxTokens
}

// exceedsLength reports whether one more token makes the answer longer than requested, or than any
// answer may be.
func (j *job) exceedsLength(token string) bool {
	return j.answer.length() >= j.maxTokens || j.answer.size()+len(token) > maxAnswerBytes
}

// isLate reports whether an answered job missed the objective of its route.
func (j *job) isLate() bool {
	return j.forward != nil && j.forward.route.ObjectiveMillis > 0 && j.firstEventTime().Milliseconds() > j.forward.route.ObjectiveMillis
}

// firstEventTime returns the time from the arrival to the answer's first token, or to now if the
// answer has no tokens.
func (j *job) firstEventTime() time.Duration {
	if j.firstToken == 0 {
		return time.Since(j.arrived)
	}
	return j.firstToken
}

// answerTimeDivisor reserves a fifth of a request's remaining time for its answer when the
// request is placed.
const answerTimeDivisor = 5

// placeBy returns until when the job must be placed so that its answer still arrives in time.
func (j *job) placeBy(now time.Time) time.Time {
	return j.deadline.Add(-j.deadline.Sub(now) / answerTimeDivisor)
}

// isGated reports whether a model's gate counts the job: its answer is a stream that should
// begin within an objective.
func (j *job) isGated() bool {
	return j.forward != nil && j.forward.route.Kind == blackboard.RouteStreaming && j.forward.route.ObjectiveMillis > 0
}

// nextAttempt returns the id of a new attempt. Engines echo it on each token, which tells a
// late answer of an earlier attempt from the answer of this one.
func (j *job) nextAttempt() string {
	j.attempts++
	return j.id + "." + strconv.Itoa(j.attempts)
}

// newJob checks the parts that all kinds of requests have in common and returns their job.
func (s *Server) newJob(r *http.Request, board *blackboard.Board) (*job, *failure.Error) {
	if e := s.mayAdmit(); e != nil {
		// An entry that has just started holds no configuration yet. It knows no key and must
		// not reject a valid one as unknown.
		return nil, e
	}
	workspace, ok := s.workspaceOf(r.Header, board)
	if !ok {
		return nil, failure.New(failure.TypeUnauthenticated, "unknown workspace key").WithRan(failure.RanNo)
	}
	now := time.Now()
	j := &job{
		id:            uuid.NewString(),
		workspace:     workspace,
		class:         r.Header.Get(HeaderClass),
		nonIdempotent: r.Header.Get(HeaderNonIdempotent) == "true",
		arrived:       now,
		firstSent:     now,
		answer:        newAnswer(),
		lines:         s.requests.Request(),
	}
	j.homes = homesOf(board.Config.Workspaces[workspace].Homes)
	if e := s.checkHomes(j.homes); e != nil {
		return nil, e
	}
	if _, known := board.Config.Classes[j.class]; j.class != "" && !known {
		return nil, badRequest("unknown request class", HeaderClass)
	}
	if key := r.Header.Get(HeaderIdempotencyKey); key != "" {
		if len(key) > maxKeyLength {
			return nil, badRequest("an idempotency key must be at most 256 bytes", HeaderIdempotencyKey)
		}
		j.key = workspace + "/" + key
	}
	timeout, err := s.timeout(r.Header, board.Config.Classes[j.class])
	if err != nil {
		return nil, err
	}
	j.deadline = j.arrived.Add(timeout)
	return j, nil
}

func (s *Server) timeout(h http.Header, class blackboard.RequestClass) (time.Duration, *failure.Error) {
	millis := s.o.Settings.DefaultTimeoutMillis
	if class.TimeoutMillis > 0 {
		millis = class.TimeoutMillis
	}
	if text := h.Get(HeaderTimeout); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 1 || n > maxTimeout.Milliseconds() {
			return 0, badRequest("the timeout must be 1 to 3600000 milliseconds", HeaderTimeout)
		}
		millis = n
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// workspaceOf finds the workspace by the hash of its key.
func (s *Server) workspaceOf(h http.Header, board *blackboard.Board) (string, bool) {
	key := auth.BearerToken(h)
	if key == "" {
		return "", false
	}
	return s.keys.workspace(board, auth.KeyHash(key))
}

func badRequest(message, detail string) *failure.Error {
	return failure.New(failure.TypeBadRequest, message).WithDetail(detail).WithRan(failure.RanNo)
}

// fingerprint hashes the parts that identify a request. The length before each part keeps
// different divisions into parts apart.
func fingerprint(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write([]byte(strconv.Itoa(len(p))))
		h.Write([]byte{':'})
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
