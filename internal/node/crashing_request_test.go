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

// A scheduler sends one request that crashes each engine that runs it, and
// sends it again without end. Group after group goes down, and callers of
// other requests lose theirs. Cause: nothing ties a crash to the request, so
// each resend gets a fresh group.
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
			answers[i] = s.post("innocent "+strconv.Itoa(i), 40, nil)
		}()
	}
	got := s.post(marker, 4, nil)
	assert.Equal(t, got.failure.Type, failure.TypePoisoned)
	assert.Equal(t, got.failure.Ran, failure.RanUnknown)
	assert.Equal(t, s.runs(marker), 2)

	others.Wait()
	for i, a := range answers {
		assert.Equal(t, a.text, standin.ExpectedText("innocent "+strconv.Itoa(i), 40), "%v", a.failure)
	}

	again := s.post(marker, 4, nil)
	assert.Equal(t, again.failure.Type, failure.TypePoisoned)
	assert.Equal(t, s.runs(marker), 2)
}
