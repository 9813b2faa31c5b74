package standin

import (
	"container/list"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// maxCacheEvents bounds the cache events in one announcement.
const maxCacheEvents = 64

// prefixCache is an engine's LRU cache of prompt prefixes. It reports its events with a delay
// of lag and drops every lossStride-th one.
type prefixCache struct {
	limit int
	lag   time.Duration
	// lossStride drops each event whose sequence number is a multiple of it; 0 drops none.
	lossStride uint64

	mu       sync.Mutex
	order    *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event backend.CacheEvent
}

func newPrefixCache(o EngineOptions) *prefixCache {
	return &prefixCache{
		limit:      o.CacheBlocks,
		lag:        o.CacheLag,
		lossStride: o.CacheGap,
		order:      list.New(),
		blocks:     map[uint64]*list.Element{},
	}
}

// insert adds the blocks of a prompt to the cache and returns the number of new ones.
func (c *prefixCache) insert(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var added, removed []uint64
	for _, b := range blocks {
		if element, ok := c.blocks[b]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		added = append(added, b)
	}
	for c.order.Len() > c.limit {
		oldest, _ := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, oldest)
		removed = append(removed, oldest)
	}
	if len(added)+len(removed) > 0 {
		c.record(added, removed)
	}
	return len(added)
}

func (c *prefixCache) record(added, removed []uint64) {
	c.sequence++
	if c.lossStride > 0 && c.sequence%c.lossStride == 0 {
		return
	}
	event := backend.CacheEvent{Sequence: c.sequence, Added: added, Removed: removed}
	c.events = append(c.events, timedEvent{at: time.Now(), event: event})
}

// due removes and returns the events that are at least lag old, up to maxCacheEvents.
func (c *prefixCache) due(now time.Time) []backend.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []backend.CacheEvent
	for len(c.events) > 0 && len(out) < maxCacheEvents {
		if now.Sub(c.events[0].at) < c.lag {
			break
		}
		out = append(out, c.events[0].event)
		c.events = c.events[1:]
	}
	return out
}
