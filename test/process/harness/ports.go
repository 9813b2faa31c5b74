package harness

import (
	"net"
	"os"
	"strconv"
	"sync"
)

// Ports come from below the range from which Linux takes the ports of outgoing
// connections (32768 and up): a port of a process that a test has killed would
// else be taken by someone's connection before the process is back.
//
// They are dealt out in blocks. A test process holds its block by listening on
// the block's first port for as long as it lives, so that two test processes
// side by side never pick the same port between the look and the use.
const (
	firstPort  = 15000
	blockSize  = 1600
	blockCount = 11
	loopback   = "127.0.0.1"
)

var ports struct {
	sync.Mutex
	// held keeps the block; first is its first port.
	blockListener net.Listener
	first         int
	next          int
}

// FreeAddress returns an address on the loopback interface that nobody listens
// on and that no other call of this process has returned of late.
func FreeAddress(t T) string {
	t.Helper()
	return FreeAddressOn(t, loopback)
}

// FreeAddressOn is FreeAddress on an IP number of the loopback range.
func FreeAddressOn(t T, host string) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	if ports.blockListener == nil && !reserveBlock() {
		t.Fatalf("no free block of ports: %d test processes run already", blockCount)
	}
	for range blockSize {
		ports.next = ports.next%(blockSize-1) + 1
		address := net.JoinHostPort(host, strconv.Itoa(ports.first+ports.next))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatalf("no free port")
	return ""
}

// reserveBlock takes the first block that no other test process holds, beginning
// at one that depends on the process.
func reserveBlock() bool {
	for i := range blockCount {
		first := firstPort + (os.Getpid()+i)%blockCount*blockSize
		held, err := net.Listen("tcp", net.JoinHostPort(loopback, strconv.Itoa(first)))
		if err == nil {
			ports.blockListener, ports.first = held, first
			return true
		}
	}
	return false
}
