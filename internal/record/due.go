package record

import "container/heap"

// dueEntry says when a key is to be looked at. A key that was given back and
// claimed again leaves an entry behind, which its record's look disowns.
type dueEntry struct {
	at  int64
	key string
}

// dueHeap orders keys by time. Its order among equal times differs between
// replicas; what is done to one key does not depend on another.
type dueHeap []dueEntry

// Len returns the number of entries.
func (h dueHeap) Len() int { return len(h) }

// Less orders by time.
func (h dueHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap exchanges two entries.
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an entry for heap.Push.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueEntry)) }

// Pop removes the last entry for heap.Pop.
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (h *dueHeap) add(at int64, key string) { heap.Push(h, dueEntry{at, key}) }

// upTo takes the entries due before now out and calls look with each key. What
// look adds is due later.
func (h *dueHeap) upTo(now int64, look func(at int64, key string)) {
	for len(*h) > 0 && (*h)[0].at < now {
		first := heap.Pop(h).(dueEntry)
		look(first.at, first.key)
	}
}
