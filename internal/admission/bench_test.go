package admission

import (
	"fmt"
	"testing"
	"time"
)

// benchQueue returns a queue with 10,000 waiting requests of 10 workspaces, 3 classes and 5
// models.
func benchQueue(b *testing.B) *Queue {
	q := New(Policy{
		QueueRequests: 10001,
		Classes:       map[string]ClassPolicy{"lookup": {Worth: 9}, "memo": {Worth: 3}, "draft": {Worth: 1}},
	})
	for i := range 10000 {
		if d := q.Offer(start, benchRequest(i)); !d.Queued {
			b.Fatalf("%+v", d.Refusal)
		}
	}
	return q
}

func benchRequest(i int) Request {
	return Request{
		ID: fmt.Sprint("r", i), Workspace: fmt.Sprint("w", i%10), Class: [3]string{"lookup", "memo", "draft"}[i/10%3],
		Model: fmt.Sprint("m", i/30%5), Tokens: 100 + i%6000, Arrived: start, Deadline: start.Add(time.Hour),
		IdempotencyKey: fmt.Sprint("k", i),
	}
}

// BenchmarkOfferNextDone measures Offer, Next and Done of one request in a full queue.
func BenchmarkOfferNextDone(b *testing.B) {
	q := benchQueue(b)
	extra := make([]Request, 4096)
	for i := range extra {
		extra[i] = benchRequest(10000 + i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Microsecond)
		r := extra[i%len(extra)]
		q.Offer(now, r)
		out, _, _ := q.Next(now, always)
		q.Done(now, Outcome{ID: out.ID, Answered: true, Took: time.Second})
		extra[i%len(extra)] = out
	}
}

// BenchmarkNextNoCapacity measures Next under full saturation, when no request of any model fits.
func BenchmarkNextNoCapacity(b *testing.B) {
	q := benchQueue(b)
	b.ReportAllocs()
	for b.Loop() {
		q.Next(start, never)
	}
}

// BenchmarkRefuse measures the refusal of a request by a full queue.
func BenchmarkRefuse(b *testing.B) {
	q := benchQueue(b)
	q.policy.QueueRequests = 10000
	r := benchRequest(10000)
	r.Class, r.IdempotencyKey = "draft", ""
	b.ReportAllocs()
	for b.Loop() {
		if d := q.Offer(start, r); d.Queued {
			b.Fatal("queued")
		}
	}
}
