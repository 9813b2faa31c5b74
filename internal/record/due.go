package record

import "container/heap"

// dueEntry schedules a check of one key. A key that was abandoned and claimed again
// leaves a stale entry in the heap. Table.expire ignores the stale entry, because its
// time differs from the record's look.
type dueEntry struct {
	// at is the time of the check on the table's clock, in milliseconds.
	at  int64
	key string
}

// dueHeap is a min-heap of keys, ordered by time. The order of equal times may differ
// between replicas. That is safe, because the check of one key does not depend on
// another key.
type dueHeap []dueEntry

// Len returns the number of entries.
func (h dueHeap) Len() int { return len(h) }

// Less reports whether entry i is due before entry j.
func (h dueHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap exchanges two entries.
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface. Callers use add.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueEntry)) }

// Pop implements heap.Interface. Callers use upTo.
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// add schedules a check of key.
func (h *dueHeap) add(at int64, key string) { heap.Push(h, dueEntry{at, key}) }

// upTo removes the entries due before now and calls look for each. Entries that look
// adds must not be due before now, so that upTo ends.
func (h *dueHeap) upTo(now int64, look func(at int64, key string)) {
	for len(*h) > 0 && (*h)[0].at < now {
		first := heap.Pop(h).(dueEntry)
		look(first.at, first.key)
	}
}
