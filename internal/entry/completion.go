package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
)

// completionAPI describes one of the two completion APIs.
type completionAPI struct {
	path   string
	object string
	// chunk is the object name of a part of a stream.
	chunk string
	chat  bool
}

var (
	textAPI = completionAPI{path: "/v1/completions", object: "text_completion", chunk: "text_completion"}
	chatAPI = completionAPI{path: "/v1/chat/completions", object: "chat.completion", chunk: "chat.completion.chunk", chat: true}
)

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the body of a request to either API. Fields that are not listed here go
// to the engine as they are.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

var namedFields = []string{"model", "prompt", "messages", "max_tokens", "stream"}

// serveCompletion handles POST requests of a completion API.
func (s *Server) serveCompletion(d completionAPI) echo.HandlerFunc {
	return func(c echo.Context) error {
		j, stream, e := s.parseCompletion(c, d)
		if e != nil {
			return s.refuseEarly(c, e)
		}
		return s.answerCompletion(c, j, d, stream)
	}
}

// parseCompletion reads and checks a completion request. It returns the job and whether the
// answer is to be streamed.
func (s *Server) parseCompletion(c echo.Context, d completionAPI) (*job, bool, *failure.Error) {
	s.awaitConfiguration(c.Request().Context())
	board := s.o.Follower.Board()
	j, e := s.newJob(c.Request(), board)
	if e != nil {
		return nil, false, e
	}
	c.Response().Header().Set(HeaderRequestID, j.id)
	r, e := s.readCompletion(c, j, d)
	if e != nil {
		return nil, false, e
	}
	if !servesModel(board.Config.Groups, r.Model) {
		return nil, false, failure.New(failure.TypeUnknownModel, "no serving group is declared for this model").
			WithDetail("model").WithRan(failure.RanNo)
	}
	return j, r.Stream, nil
}

func (s *Server) readCompletion(c echo.Context, j *job, d completionAPI) (*completionRequest, *failure.Error) {
	data, e := s.readBody(c)
	if e != nil {
		return nil, e
	}
	var r completionRequest
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, badRequest("the body is not a JSON completion request: "+err.Error(), "body")
	}
	if r.Model == "" {
		return nil, badRequest("model is missing", "model")
	}
	if r.MaxTokens < 0 || r.MaxTokens > maxTokens {
		return nil, badRequest("max_tokens must be 1 to 1048576", "max_tokens")
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = defaultMaxTokens
	}
	j.model, j.maxTokens = r.Model, r.MaxTokens
	j.prompt = r.Prompt
	if d.chat {
		j.prompt = chatPrompt(r.Messages)
	}
	if j.prompt == "" {
		return nil, badRequest("prompt or messages are missing", "prompt")
	}
	j.prefix = backend.PrefixBlocks(j.prompt)
	j.extra = extraFields(data)
	j.fingerprint = completionFingerprint(j, d)
	return &r, nil
}

// completionFingerprint hashes the contents of a request. The way of delivery is left out, so
// that a resend may ask for a stream where the first send did not.
func completionFingerprint(j *job, d completionAPI) string {
	extra, err := json.Marshal(j.extra)
	if err != nil {
		return ""
	}
	return fingerprint(d.path, j.model, j.prompt, strconv.Itoa(j.maxTokens), string(extra))
}

// extraFields returns the fields of the body that the entry does not use.
func extraFields(data []byte) map[string]json.RawMessage {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(data, &all); err != nil {
		return nil
	}
	for _, name := range namedFields {
		delete(all, name)
	}
	return all
}

func chatPrompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// bodyTimeout is how long a caller may take to send a body: enough for a megabyte at a megabit
// a second.
const bodyTimeout = 10 * time.Second

// readBody reads a body of at most MaxBodyBytes.
func (s *Server) readBody(c echo.Context) ([]byte, *failure.Error) {
	connection := http.NewResponseController(c.Response())
	// A caller that sends its body one byte at a time holds memory although it has no job yet.
	// Only connections in tests fail to set a deadline.
	_ = connection.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	body := c.Request().Body
	data, err := io.ReadAll(io.LimitReader(body, s.o.Settings.MaxBodyBytes+1))
	if err != nil {
		return nil, badRequest("the body was cut: "+err.Error(), "body")
	}
	if int64(len(data)) <= s.o.Settings.MaxBodyBytes {
		return data, nil
	}
	// If the connection closed while the caller still sends, the caller would see a reset and
	// no answer. The rest of the body is read and discarded, up to maxDiscarded.
	_, _ = io.CopyN(io.Discard, body, maxDiscarded)
	return nil, failure.New(failure.TypeBodyTooLarge, "the body is over the limit").
		WithDetail("body").WithRan(failure.RanNo)
}

// maxDiscarded is the most that is read of a body past its limit, in bytes.
const maxDiscarded = 64 << 20
