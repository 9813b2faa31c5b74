package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
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
	// HeaderRequestID is on each answer; a caller may not choose it.
	HeaderRequestID = "Citronstep-Request-Id"
)

// Limits of what a caller may ask.
const (
	maxKeyLength = 256
	maxTimeout   = time.Hour
	maxTokens    = 1 << 20
	// bytesPerToken estimates the work in a prompt before an engine counts it.
	bytesPerToken = 4
	// defaultMaxTokens is the length of an answer whose request names none.
	defaultMaxTokens = 16
)

// job is one request on its way through the entry.
type job struct {
	id        string
	workspace string
	class     string
	// key is the workspace and the idempotency key, or empty.
	key string
	// body is the hash of what was asked: the fingerprint of the request.
	fingerprint   string
	nonIdempotent bool
	arrived       time.Time
	// asked is when the caller surely had sent the request for the first time: its
	// arrival, or earlier for a later try.
	firstSent time.Time
	deadline  time.Time

	// model is the model asked for, or the pool name of a plain service.
	model     string
	prompt    string
	maxTokens int
	extra     map[string]json.RawMessage
	prefix    []uint64

	// forward holds the request when it is passed on as it came.
	forward *forwarding
	// maxAttempts bounds the attempts; 0 is the entry's own limit.
	maxAttempts int

	// service holds the call when the request is for a plain service.
	service *serviceCall

	answer *answer
	// mayHaveRun says that an attempt of this job may have run, or did.
	mayHaveRun bool
	// lines are what is logged of the request.
	lines *requestlog.Lines
	// finish is the finish reason of a whole answer.
	finish string
	// isHolder says that this entry is the holder of the job's key; begun that
	// an earlier run of the key may have begun.
	isHolder, begun bool
	// replayed says that the answer was given from the at-most-once record.
	replayed bool
	// claimed says that this job holds its key's at-most-once record.
	claimed bool
	ctx     context.Context
	cancel  context.CancelCauseFunc

	// homes are the regions whose backend servers may take the request; nil is any.
	homes []string
	// reserve is the part of each target that this request leaves free for
	// requests of greater worth.
	reserve float64
	// tried lists the targets that failed this request.
	tried []string
	// attempts counts the attempts begun.
	attempts int
	// queued is the time until the first attempt; firstToken until the first
	// token, both from the arrival.
	queued, firstToken time.Duration
	// suspect says that a backend server crashed while it ran the request;
	// crashes counts those that this job saw.
	suspect bool
	crashes int
}

// tokens estimates the work of the request.
func (j *job) tokens() int {
	if j.forward != nil {
		return j.forward.tokens
	}
	return len(j.prompt)/bytesPerToken + j.maxTokens
}

// answerPart is the part of a request's time that is left for its answer when it is placed.
const answerTimeDivisor = 5

// placeBy returns until when the job must be placed for its answer to be of use.
func (j *job) placeBy(now time.Time) time.Time {
	return j.deadline.Add(-j.deadline.Sub(now) / answerTimeDivisor)
}

// gated tells whether a model's gate counts the job: its answer is a stream that
// should begin within an objective.
func (j *job) isGated() bool {
	return j.forward != nil && j.forward.route.Kind == blackboard.RouteStreaming && j.forward.route.ObjectiveMillis > 0
}

// nextAttempt returns a new attempt's id. Engines echo it on each token, so
// that a late answer of an earlier attempt is told from this one's.
func (j *job) nextAttempt() string {
	j.attempts++
	return j.id + "." + strconv.Itoa(j.attempts)
}

// head holds what all kinds of request have in common.
func (s *Server) newJob(r *http.Request, board *blackboard.Board) (*job, *failure.Error) {
	if e := s.mayAdmit(); e != nil {
		// An entry that has just started holds no configuration yet: it knows
		// no key, and must not call a good one unknown.
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
			return nil, badRequest("an idempotency key has 256 bytes at most", HeaderIdempotencyKey)
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
			return 0, badRequest("a timeout is 1 to 3600000 milliseconds", HeaderTimeout)
		}
		millis = n
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// workspaceOf finds the workspace by the hash of its key.
func (s *Server) workspaceOf(h http.Header, board *blackboard.Board) (string, bool) {
	key := auth.FromHeader(h)
	if key == "" {
		return "", false
	}
	return s.keys.workspace(board, auth.KeyHash(key))
}

func badRequest(message, detail string) *failure.Error {
	return failure.New(failure.TypeBadRequest, message).WithDetail(detail).WithRan(failure.RanNo)
}

// fingerprint hashes the parts of a request that make it what it is.
func fingerprint(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write([]byte(strconv.Itoa(len(p))))
		h.Write([]byte{':'})
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
