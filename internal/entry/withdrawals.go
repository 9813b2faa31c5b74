package entry

import "sync"

// maxUnsureAbandons is how many claims whose own outcome is unknown an entry withdraws at the
// same time. Each such withdrawal outlives its request.
const maxUnsureAbandons = 256

// withdrawals holds the keys of the claims that this entry is withdrawing after their requests
// have ended.
type withdrawals struct {
	mu   sync.Mutex
	keys map[string]int
	n    int
}

func newWithdrawals() *withdrawals { return &withdrawals{keys: make(map[string]int)} }

// begin reports whether one more withdrawal may begin.
func (w *withdrawals) begin(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.n >= maxUnsureAbandons {
		return false
	}
	w.n++
	w.keys[key]++
	return true
}

func (w *withdrawals) end(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n--
	w.keys[key]--
	if w.keys[key] == 0 {
		delete(w.keys, key)
	}
}

func (w *withdrawals) has(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[key] > 0
}

func (w *withdrawals) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.n
}
