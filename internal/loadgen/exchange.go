package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/failure"
)

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 64 << 20

// answer is the response to one attempt, before it is checked.
type answer struct {
	status int
	id     string
	// hasMixedIDs is set when parts of one stream carried different request ids.
	hasMixedIDs bool
	text        strings.Builder
	tokens      int
	// reportedTokens is the token count that the answer states; -1 if it states none.
	reportedTokens int
	finish         string
	// isComplete is set when the complete answer arrived; for a stream, when its end mark
	// arrived. hasDataAfterEnd is set when data followed the end mark.
	isComplete, hasDataAfterEnd bool
	// isMalformed is set when a part does not conform to the API.
	isMalformed bool
	refusal     *failure.Error
	// retryAfter is the delay in the Retry-After header of a refusal; 0 if there is none.
	retryAfter time.Duration
	// connectionErr is set when the connection ended before the answer did.
	connectionErr error
	times         []time.Time
}

// completionPart is a complete answer or one event of a stream.
type completionPart struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *failure.Error `json:"error"`
}

// send carries out one attempt of a request.
func send(ctx context.Context, client *http.Client, f Flow, r request) *answer {
	a := &answer{reportedTokens: -1}
	httpRequest, err := newHTTPRequest(ctx, f, r)
	if err != nil {
		a.connectionErr = errors.Trace(err)
		return a
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		a.connectionErr = errors.Trace(err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	body := io.LimitReader(response.Body, maxAnswerBytes)
	switch {
	case f.Service != "":
		a.readService(response, body)
	case response.StatusCode != http.StatusOK:
		a.readRefusal(response, body)
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		a.readStream(body)
	default:
		a.readCompletion(body)
	}
	return a
}

func newHTTPRequest(ctx context.Context, f Flow, r request) (*http.Request, error) {
	url := "http://" + r.target + "/v1/completions"
	body := []byte(r.prompt)
	if f.Service != "" {
		url = "http://" + r.target + "/services/" + f.Service + "/" + strings.TrimPrefix(f.Path, "/")
	} else {
		var err error
		if body, err = json.Marshal(map[string]any{
			"model": f.Model, "prompt": r.prompt, "max_tokens": r.maxTokens, "stream": f.Stream,
		}); err != nil {
			return nil, errors.Trace(err)
		}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	h := httpRequest.Header
	h.Set("Content-Type", "application/json")
	h.Set("Authorization", "Bearer "+f.Key)
	h.Set(headerIdempotencyKey, r.marker)
	if f.Class != "" {
		h.Set(headerClass, f.Class)
	}
	if f.NonIdempotent {
		h.Set(headerNonIdempotent, "true")
	}
	if f.Timeout > 0 {
		h.Set(headerTimeout, strconv.FormatInt(f.Timeout.Milliseconds(), 10))
	}
	return httpRequest, nil
}

// readRefusal reads a typed failure and the Retry-After header.
func (a *answer) readRefusal(response *http.Response, body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		a.connectionErr = errors.Trace(err)
		return
	}
	var refusal failure.Body
	if err := json.Unmarshal(data, &refusal); err != nil || refusal.Error == nil {
		a.isMalformed = true
		return
	}
	a.refusal = refusal.Error
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
}

// readService reads the answer of a plain service. A refusal by the service itself counts as
// its answer; a typed failure in the body counts as a refusal by the entry.
func (a *answer) readService(response *http.Response, body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		a.connectionErr = errors.Trace(err)
		return
	}
	var refusal failure.Body
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &refusal) == nil && refusal.Error != nil {
		a.readRefusal(response, bytes.NewReader(data))
		return
	}
	a.times = append(a.times, time.Now())
	a.text.Write(data)
	a.isComplete = true
}

func (a *answer) readCompletion(body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		a.connectionErr = errors.Trace(err)
		return
	}
	a.times = append(a.times, time.Now())
	a.addPart(data)
	a.isComplete = true
}

// readStream reads server-sent events until the connection ends. It reads past the end mark, to
// detect data after it.
func (a *answer) readStream(body io.Reader) {
	const longestLine = 1 << 20
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), longestLine)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !isData:
		case a.isComplete:
			a.hasDataAfterEnd = true
		case data == "[DONE]":
			a.isComplete = true
		default:
			a.addPart([]byte(data))
		}
	}
	if err := lines.Err(); err != nil && !a.isComplete {
		a.connectionErr = errors.Trace(err)
	}
}

// addPart adds a complete answer or one event of a stream.
func (a *answer) addPart(data []byte) {
	var part completionPart
	if err := json.Unmarshal(data, &part); err != nil {
		a.isMalformed = true
		return
	}
	if part.Error != nil {
		a.refusal = part.Error
		return
	}
	if len(part.Choices) != 1 {
		a.isMalformed = true
		return
	}
	a.hasMixedIDs = a.hasMixedIDs || (a.id != "" && a.id != part.ID)
	a.id = part.ID
	choice := part.Choices[0]
	if choice.Text != "" {
		a.times = append(a.times, time.Now())
		a.tokens++
		a.text.WriteString(choice.Text)
	}
	if choice.FinishReason != nil {
		a.finish = *choice.FinishReason
	}
	if part.Usage != nil {
		a.reportedTokens = part.Usage.CompletionTokens
	}
}
