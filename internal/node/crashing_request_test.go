package node

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
)

// Failure: a caller keeps resending a request that crashes each engine that runs it. If
// crashes are not attributed to the request, each resend goes to another group, and group
// after group fails together with the other requests on it.
func TestRequestThatCrashesIsRefusedAfterItsSecondCrash(t *testing.T) {
	const marker = "POISON"
	s := start(t, func(o *standin.EngineOptions) {
		o.Faults.CrashMarker = marker
		o.TokenInterval = 20 * time.Millisecond
	})
	var others sync.WaitGroup
	answers := make([]answer, 12)
	for i := range answers {
		others.Add(1)
		go func() {
			defer others.Done()
			answers[i] = s.post("other "+strconv.Itoa(i), 40, nil)
		}()
	}
	got := s.post(marker, 4, nil)
	assert.Equal(t, got.failure.Type, failure.TypeRequestCrashesBackend)
	assert.Equal(t, got.failure.Ran, failure.RanUnknown)
	assert.Equal(t, s.runs(marker), 2)

	others.Wait()
	for i, a := range answers {
		assert.Equal(t, a.text, standin.ExpectedText("other "+strconv.Itoa(i), 40), "%v", a.failure)
	}

	again := s.post(marker, 4, nil)
	assert.Equal(t, again.failure.Type, failure.TypeRequestCrashesBackend)
	assert.Equal(t, s.runs(marker), 2)
}
