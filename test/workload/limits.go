package workload

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

const (
	// limitTime is the longest time that a backend server names a rate limit.
	limitTime = 5 * time.Second
	// mostLimit is the highest rate limit that is named, in requests a second.
	mostLimit = 4.0
	// limiterStream keeps the limiter's draws apart from those of the faulters.
	limiterStream = 1 << 32
)

// limiter makes one backend server after the other name a rate limit. It draws from a source of
// its own, so that a seed makes the same faults with it and without.
type limiter struct {
	servers []*harness.Standin
	random  *rand.Rand
}

func newLimiter(seed uint64, servers []*harness.Standin) *limiter {
	return &limiter{servers: servers, random: rand.New(rand.NewPCG(seed, limiterStream))}
}

func (l *limiter) run(ctx context.Context) {
	for ctx.Err() == nil {
		server := l.servers[l.random.IntN(len(l.servers))]
		l.name(server, mostLimit*l.random.Float64())
		wait(ctx, time.Duration(l.random.Int64N(int64(limitTime))))
		l.name(server, 0)
	}
}

func (l *limiter) name(server *harness.Standin, perSecond float64) {
	server.Fault(standin.FaultOrder{RateLimit: &perSecond})
}
