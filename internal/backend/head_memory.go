package backend

import (
	"sync"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/bounded"
)

// errHeadMemory is returned for an answer whose head has no room beside those of other answers.
const errHeadMemory = errors.ConstError("the memory of this process for the heads of answers is used up")

// headReservation is the memory of the head of one answer, from its first byte until the exchange ends. It is safe for
// concurrent use.
//
// Load: many requests at once get heads of thousands of short lines that never end. Harm: each head is within its
// limit, a line takes many times its bytes in memory until the request's deadline, and the process runs out of memory.
type headReservation struct {
	memory *bounded.Memory

	mu       sync.Mutex
	scan     headScan
	reserved int64
	isEnded  bool
}

// read reserves memory for the part of data that belongs to the head. It returns errHeadMemory if there is none.
func (r *headReservation) read(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEnded || r.scan.isComplete {
		return nil
	}
	cost := bounded.HeaderCost(r.scan.read(data))
	if !r.memory.Grow(r.reserved, cost) {
		return errors.Trace(errHeadMemory)
	}
	r.reserved += cost
	return nil
}

// hasCoding reports whether the head names a transfer coding.
func (r *headReservation) hasCoding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scan.hasCoding
}

// end releases the memory. It may be called more than once.
func (r *headReservation) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEnded {
		return
	}
	r.isEnded = true
	r.memory.Release(r.reserved)
}
