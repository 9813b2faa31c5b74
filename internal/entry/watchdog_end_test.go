package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stream that makes progress again and is ended all the same, as the entry was asking for a retry meanwhile.
func TestProgressDuringTheDecisionKeepsTheAttempt(t *testing.T) {
	for name, mayEnd := range map[string]bool{"another attempt could be made": true, "no other attempt could be made": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWatchdog(context.Background(), progressTimeouts{header: time.Minute, firstToken: time.Minute, gap: streamGap})
				defer w.stop()
				var calls atomic.Int32
				w.mayEnd = func() bool {
					if calls.Add(1) > 1 {
						return true
					}
					time.Sleep(loanTimeout)
					w.progress(true)
					return mayEnd
				}
				w.progress(true)
				time.Sleep(streamGap + loanTimeout + streamGap - time.Millisecond)
				synctest.Wait()
				assert.NilError(t, w.ctx.Err(), "the attempt ended within the permitted pause of its last event")
			})
		})
	}
}
