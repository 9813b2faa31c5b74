package harness

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// PeakMemory returns the most physical memory that the process has held since its last start, in bytes.
func (p *Process) PeakMemory() int64 {
	p.t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		p.t.Fatalf("memory of %s: %v", p.Name, err)
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			kibibytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				p.t.Fatalf("memory of %s: %v", p.Name, err)
			}
			return kibibytes << 10
		}
	}
	p.t.Fatalf("memory of %s: not known", p.Name)
	return 0
}

// OpenDescriptors returns the number of file descriptors that the process holds open.
func (p *Process) OpenDescriptors() int {
	p.t.Helper()
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.PID()))
	if err != nil {
		p.t.Fatalf("descriptors of %s: %v", p.Name, err)
	}
	return len(descriptors)
}
