package harness

import (
	"net"
	"os"
	"strconv"
	"sync"
)

// Ports are below 32768, where Linux's range for the local ports of outgoing connections begins.
// Otherwise an outgoing connection could take the port of a killed process before the process
// restarts.
//
// Each test process allocates ports from a block of its own. It reserves the block by listening
// on the block's first port until it ends. Otherwise two test processes that run at once could
// pick the same port between the check that the port is free and its use.
const (
	firstPort  = 15000
	blockSize  = 1600
	blockCount = 11
	loopback   = "127.0.0.1"
)

var ports struct {
	sync.Mutex
	// blockListener reserves the block and first is the block's first port. next is the offset in
	// the block of the port that was returned last.
	blockListener net.Listener
	first         int
	next          int
}

// FreeAddress returns a loopback address that has no listener. It returns the same address again
// only after all others of this process's block.
func FreeAddress(t T) string {
	t.Helper()
	return FreeAddressOn(t, loopback)
}

// FreeAddressOn is FreeAddress for a given IP address of the loopback range.
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

// reserveBlock reserves the first block that no other test process has reserved. The search
// starts at a block that depends on the process id.
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
