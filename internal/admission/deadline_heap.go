package admission

import "time"

// notInHeap is the heap index of an item without a deadline.
const notInHeap = -1

// item is a waiting request.
type item struct {
	request Request
	worth   float64
	isLong  bool
	// latestStart is when the request must reach a backend server to be answered in time if it
	// takes no longer than nine in ten requests do; zero means no deadline.
	latestStart time.Time
	// latestPossibleStart is when the request must reach a backend server to have any chance of
	// an answer in time.
	latestPossibleStart time.Time
	// margin is how much earlier than latestStart the request should start if it has to wait.
	margin     time.Duration
	flow       *flow
	prev, next *item
	index      int
	seq        uint64
}

// deadlineHeap orders items by latestStart, the earliest first.
type deadlineHeap []*item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.index = notInHeap
	return it
}
