package record

import "container/heap"

// dueEntry schedules a check of one key. A key that was abandoned and claimed again
// leaves a stale entry in the heap. Table.expire ignores the stale entry, because its
// time differs from the record's checkAtMillis.
type dueEntry struct {
	// atMillis is the time of the check on the table's clock, in milliseconds.
	atMillis int64
	key      string
}

// dueHeap is a min-heap of keys, ordered by time. The order of equal times may differ
// between replicas. That is safe, because the check of one key does not depend on
// another key.
type dueHeap []dueEntry

// Len returns the number of entries.
func (h dueHeap) Len() int { return len(h) }

// Less reports whether entry i is due before entry j.
func (h dueHeap) Less(i, j int) bool { return h[i].atMillis < h[j].atMillis }

// Swap exchanges two entries.
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface. Callers use add.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueEntry)) }

// Pop implements heap.Interface. Callers use popDue.
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// add schedules a check of key.
func (h *dueHeap) add(atMillis int64, key string) { heap.Push(h, dueEntry{atMillis, key}) }

// popDue removes the entries due before nowMillis and calls check for each. Entries
// that check adds must not be due before nowMillis, so that popDue ends.
func (h *dueHeap) popDue(nowMillis int64, check func(atMillis int64, key string)) {
	for len(*h) > 0 && (*h)[0].atMillis < nowMillis {
		first := heap.Pop(h).(dueEntry)
		check(first.atMillis, first.key)
	}
}
