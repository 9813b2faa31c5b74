package harness

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
	"github.com/citronstep/citronstep/internal/standin"
)

// callerTimeout is the time after which a call fails that the system neither answers nor refuses.
const callerTimeout = 90 * time.Second

// Completion is a completion request as a caller sends it.
type Completion struct {
	Model         string
	Prompt        string
	MaxTokens     int
	Stream        bool
	Key           string
	NonIdempotent bool
	Class         string
	TimeoutMillis int
}

// Reply is the result of a call as the caller received it.
type Reply struct {
	Status    int
	RequestID string
	// Text is the answer received so far. Whole reports that the answer is complete: its end mark
	// has arrived.
	Text  string
	Whole bool
	// Refusal is the typed error with which the system refused the request, or nil.
	Refusal    *failure.Error
	RetryAfter string
	// Lost is the error of a connection that broke before the end of the answer, or nil.
	Lost error
	// Header and Body are the answer of a plain service.
	Header http.Header
	Body   []byte
}

// Complete sends one POST /v1/completions to an entry's address.
func Complete(ctx context.Context, entry string, r Completion) Reply {
	body, err := json.Marshal(map[string]any{
		"model": r.Model, "prompt": r.Prompt, "max_tokens": r.MaxTokens, "stream": r.Stream,
	})
	if err != nil {
		return Reply{Lost: err}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	setIf(header, "Idempotency-Key", r.Key)
	setIf(header, "Citronstep-Class", r.Class)
	if r.NonIdempotent {
		header.Set("Citronstep-Non-Idempotent", "true")
	}
	if r.TimeoutMillis > 0 {
		header.Set("Citronstep-Timeout-Ms", strconv.Itoa(r.TimeoutMillis))
	}
	read := readCompletion
	if r.Stream {
		read = readCompletionStream
	}
	return roundTrip(ctx, http.MethodPost, "http://"+entry+"/v1/completions", header, body, read)
}

// ServiceRequest is a call to a plain service as a caller sends it.
type ServiceRequest struct {
	Service string
	Method  string
	// Path is the part of the URL path after /services/NAME.
	Path          string
	Body          []byte
	Key           string
	NonIdempotent bool
	TimeoutMillis int
}

// CallService sends one call of a plain service to an entry's address.
func CallService(ctx context.Context, entry string, r ServiceRequest) Reply {
	header := http.Header{}
	setIf(header, "Idempotency-Key", r.Key)
	if r.NonIdempotent {
		header.Set("Citronstep-Non-Idempotent", "true")
	}
	if r.TimeoutMillis > 0 {
		header.Set("Citronstep-Timeout-Ms", strconv.Itoa(r.TimeoutMillis))
	}
	url := "http://" + entry + "/services/" + r.Service + r.Path
	return roundTrip(ctx, r.Method, url, header, r.Body, readServiceAnswer)
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// roundTrip sends one request with the workspace key and lets read fill in the rest of the reply.
func roundTrip(
	ctx context.Context, method, url string, header http.Header, body []byte, read func(*http.Response, *Reply),
) Reply {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Reply{Lost: err}
	}
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	response, err := noKeepAliveClient.Do(request)
	if err != nil {
		return Reply{Lost: err}
	}
	defer func() { _ = response.Body.Close() }()
	reply := Reply{
		Status:     response.StatusCode,
		RequestID:  response.Header.Get("Citronstep-Request-Id"),
		RetryAfter: response.Header.Get("Retry-After"),
		Header:     response.Header,
	}
	read(response, &reply)
	return reply
}

// completionEvent is the part of a completion, or of a streamed event, that a caller evaluates.
type completionEvent struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *failure.Error `json:"error"`
}

// readCompletion reads an answer that is not streamed, or a refusal.
func readCompletion(response *http.Response, reply *Reply) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		reply.Lost = err
		return
	}
	var event completionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		reply.Lost = err
		return
	}
	reply.Refusal = event.Error
	if reply.Status == http.StatusOK && len(event.Choices) == 1 {
		reply.Text = event.Choices[0].Text
		reply.Whole = event.Choices[0].FinishReason != nil
	}
}

// readCompletionStream reads the server-sent events of a streamed answer until the end mark, a
// refusal or a broken connection.
func readCompletionStream(response *http.Response, reply *Reply) {
	if response.StatusCode != http.StatusOK {
		readCompletion(response, reply)
		return
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			reply.Whole = true
			return
		}
		var event completionEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			reply.Lost = err
			return
		}
		if event.Error != nil {
			reply.Refusal = event.Error
			return
		}
		for _, choice := range event.Choices {
			reply.Text += choice.Text
		}
	}
	reply.Lost = lines.Err()
	if reply.Lost == nil {
		reply.Lost = errors.Trace(io.ErrUnexpectedEOF)
	}
}

// readServiceAnswer reads the answer of a plain service. An error status with a failure body is
// taken as the system's own refusal.
func readServiceAnswer(response *http.Response, reply *Reply) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		reply.Lost = err
		return
	}
	reply.Body = data
	var refusal failure.Body
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &refusal) == nil {
		reply.Refusal = refusal.Error
	}
	reply.Whole = reply.Refusal == nil
}

// Right reports whether the reply is the complete and expected answer to the request.
func (r Reply) Right(request Completion) bool {
	return r.Whole && r.Text == standin.ExpectedText(request.Prompt, request.MaxTokens)
}

// Echo decodes the answer of a plain stand-in service.
func (r Reply) Echo() (standin.ServiceEcho, error) {
	var echo standin.ServiceEcho
	err := json.Unmarshal(r.Body, &echo)
	return echo, errors.Trace(err)
}
