package workload

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

const (
	// maxBrokenDuration is the longest time for which a backend server sends broken answers.
	maxBrokenDuration = time.Second
	// brokenStream is the random stream of the injector, see limiterStream.
	brokenStream = 1 << 34
)

// BrokenAnswers returns answers that follow no protocol, by their faults.
func BrokenAnswers() map[string]string {
	const sound = "Content-Length: 2\r\n\r\n{}"
	return map[string]string{
		"status 000":               "HTTP/1.1 000 Zero\r\n" + sound,
		"status 099":               "HTTP/1.1 099 Low\r\n" + sound,
		"status 999":               "HTTP/1.1 999 High\r\n" + sound,
		"status 101":               "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n{}",
		"a blank in a name":        "HTTP/1.1 200 OK\r\nX A: b\r\n" + sound,
		"a control byte in a name": "HTTP/1.1 200 OK\r\nX\x01A: b\r\n" + sound,
		"a blank behind a length":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length : 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"a 1xx head":               "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
		"a trailer":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX A: b\r\n\r\n",
		"a failure":                "HTTP/1.1 500 Failed\r\nX A: b\r\n" + sound,
	}
}

// brokenAnswerInjector makes one backend server after the other send broken answers for a time.
type brokenAnswerInjector struct {
	servers []*harness.Standin
	answers []string
	random  *rand.Rand
}

func newBrokenAnswerInjector(seed uint64, servers []*harness.Standin) *brokenAnswerInjector {
	return &brokenAnswerInjector{
		servers: servers, answers: slices.Sorted(maps.Values(BrokenAnswers())), random: rand.New(rand.NewPCG(seed, brokenStream)),
	}
}

func (b *brokenAnswerInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		server := b.servers[b.random.IntN(len(b.servers))]
		b.setAnswer(server, b.answers[b.random.IntN(len(b.answers))])
		wait(ctx, time.Duration(b.random.Int64N(int64(maxBrokenDuration))))
		b.setAnswer(server, "")
		wait(ctx, time.Duration(b.random.Int64N(int64(maxBrokenDuration))))
	}
}

func (b *brokenAnswerInjector) setAnswer(server *harness.Standin, text string) {
	server.Fault(standin.FaultOrder{RawAnswer: &text})
}
