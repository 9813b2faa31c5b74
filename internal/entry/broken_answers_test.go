package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/record"
)

// Guards against a peer whose line is no answer to the request: its caller's connection is closed, or the process ends.
func TestBrokenAnswerOfAHolderIsNotPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		line      string
		isService bool
		done      bool
	}{
		"status 0":               {`{"end":true,"service":{"status":0,"body":"aGk="}}`, true, false},
		"status 999":             {`{"end":true,"service":{"status":999,"body":"aGk="}}`, true, false},
		"status 101":             {`{"end":true,"service":{"status":101,"body":"aGk="}}`, true, false},
		"a name":                 {`{"end":true,"service":{"status":200,"header":{"X A":["b"]},"body":"aGk="}}`, true, false},
		"no answer":              {`{"end":true}`, true, false},
		"tokens":                 {`{"tokens":["x"],"end":true,"service":{"status":200}}`, true, false},
		"a service's for tokens": {`{"end":true,"service":{"status":200,"body":"aGk="}}`, false, false},
		"sound":                  {`{"end":true,"service":{"status":299,"header":{"X-A":["b"]},"body":"aGk="}}`, true, true},
		"sound failure":          {`{"failed":{"type":"backend_failed","message":"m"}}`, true, true},
		"sound tokens":           {`{"tokens":["x"],"end":true}`, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			board := servingPool(1, 1, 1, 1)
			board.Entries["holder"] = blackboard.Entry{PeerAddress: serveHolder(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "{}\n"+c.line+"\n")
			})}
			s := sharedServer(board, "e", nil)
			j := &job{id: "r", key: "w/key", answer: newAnswer(), maxTokens: 3, lines: s.requests.Request()}
			if c.isService {
				j.service = &serviceCall{}
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			j.ctx = ctx
			done, _ := s.readHolder(j, "holder")
			assert.Equal(t, done, c.done)
			assert.Assert(t, c.done || !c.isService || j.service.status == 0)
		})
	}
}

// Guards against a recorded answer that follows no protocol and closes the connection of each caller that resends.
func TestBrokenRecordedAnswerIsRefused(t *testing.T) {
	s := deafServer(servingPool(1, 1, 1, 1))
	for _, a := range []record.Answer{{Status: 0}, {Status: 999}, {Status: 200, Header: map[string][]string{"X A": {"b"}}}} {
		j := resendAt(s)
		j.service = &serviceCall{}
		e := s.replay(j, a)
		assert.Assert(t, e != nil, "%+v", a)
		assert.Equal(t, e.Type, failure.TypeInternal)
		assert.Equal(t, e.Ran, failure.RanYes)
	}
	j := resendAt(s)
	j.service = &serviceCall{}
	assert.Assert(t, s.replay(j, record.Answer{Status: 200}) == nil)
}
