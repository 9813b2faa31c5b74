package workload

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

const (
	// maxLimitDuration is the longest time for which a backend server states a rate limit.
	maxLimitDuration = 5 * time.Second
	// maxRateLimit is the highest rate limit that a server states, in requests a second.
	maxRateLimit = 4.0
	// limiterStream is the random stream of the injector. It keeps its draws apart from those of
	// the fault injectors.
	limiterStream = 1 << 32
)

// rateLimitInjector makes one backend server after the other state a rate limit. It has its own
// random source, so that a seed gives the same faults with rate limits and without.
type rateLimitInjector struct {
	servers []*harness.Standin
	random  *rand.Rand
}

func newRateLimitInjector(seed uint64, servers []*harness.Standin) *rateLimitInjector {
	return &rateLimitInjector{servers: servers, random: rand.New(rand.NewPCG(seed, limiterStream))}
}

func (l *rateLimitInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		server := l.servers[l.random.IntN(len(l.servers))]
		l.setRateLimit(server, maxRateLimit*l.random.Float64())
		wait(ctx, time.Duration(l.random.Int64N(int64(maxLimitDuration))))
		l.setRateLimit(server, 0)
	}
}

func (l *rateLimitInjector) setRateLimit(server *harness.Standin, perSecond float64) {
	server.Fault(standin.FaultOrder{RateLimit: &perSecond})
}
