//go:build !linux

package harness

// PeakMemory returns 0: on other systems it is not known.
func (p *Process) PeakMemory() int64 { return 0 }

// OpenDescriptors returns 0: on other systems it is not known.
func (p *Process) OpenDescriptors() int { return 0 }
