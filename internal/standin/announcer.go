package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/backend"
)

const (
	defaultInterval      = 500 * time.Millisecond
	announceTimeout      = time.Second
	maxAnnounceBodyBytes = 1 << 20
)

// announcer sends announcements to one entry at a time and switches to the next entry when a
// request fails.
type announcer struct {
	secret string
	seeds  []string
	client *http.Client
	logger log.Logger

	mu       sync.Mutex
	entries  []string
	next     int
	interval time.Duration
}

func newAnnouncer(o Common) *announcer {
	return &announcer{
		secret:   o.AnnounceSecret,
		seeds:    o.Entries,
		entries:  o.Entries,
		next:     firstEntry(o.ID, len(o.Entries)),
		interval: o.Interval,
		client: &http.Client{
			Timeout:   announceTimeout,
			Transport: &http.Transport{IdleConnTimeout: 10 * time.Second},
		},
		logger: o.Logger,
	}
}

// firstEntry distributes the stand-ins over the entries by a hash of their ids.
func firstEntry(id string, entries int) int {
	if entries == 0 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(entries))
}

// run sends the announcement that message returns at each interval until ctx ends. A nil
// announcement is not sent.
func (a *announcer) run(ctx context.Context, message func() *backend.Announcement) {
	defer a.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if m := message(); m != nil {
			a.announce(ctx, m)
		}
		sleep(ctx, a.currentInterval())
	}
}

func (a *announcer) currentInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.interval
}

// announce tries the known entries in turn, each at most once, until one accepts the
// announcement.
func (a *announcer) announce(ctx context.Context, m *backend.Announcement) {
	body, err := json.Marshal(m)
	if err != nil {
		return
	}
	for range a.entryCount() {
		entry := a.currentEntry()
		if a.post(ctx, entry, body) {
			return
		}
		if ctx.Err() != nil {
			return
		}
		_ = level.Debug(a.logger).Log("msg", "entry did not accept announcement", "id", m.ID, "entry", entry)
		a.useNextEntry()
	}
}

// post sends an announcement to an entry and reports whether the entry accepted it.
func (a *announcer) post(ctx context.Context, entry string, body []byte) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+entry+backend.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	if a.secret != "" {
		request.Header.Set("Authorization", "Bearer "+a.secret)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false
	}
	var reply backend.AnnounceReply
	if json.NewDecoder(io.LimitReader(response.Body, maxAnnounceBodyBytes)).Decode(&reply) != nil {
		return false
	}
	a.applyReply(entry, reply)
	return true
}

// applyReply adopts the entries and the interval of a reply. The configured entries stay in the
// list, so that a wrong list can't cut the stand-in off.
func (a *announcer) applyReply(current string, reply backend.AnnounceReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.IntervalMillis > 0 {
		a.interval = time.Duration(reply.IntervalMillis) * time.Millisecond
	}
	a.entries = union(a.seeds, reply.Entries)
	for i, entry := range a.entries {
		if entry == current {
			a.next = i
		}
	}
}

// union returns the elements of both lists without duplicates.
func union(first, second []string) []string {
	seen := map[string]bool{}
	var out []string
	for _, list := range [][]string{first, second} {
		for _, s := range list {
			if !seen[s] {
				seen[s] = true
				out = append(out, s)
			}
		}
	}
	return out
}

func (a *announcer) entryCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.entries)
}

func (a *announcer) currentEntry() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entries[a.next%len(a.entries)]
}

func (a *announcer) useNextEntry() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
}

// sleep waits for d or until ctx ends, and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
