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
const (
	firstPort = 15000
	portCount = 16000
	// portStride spreads test processes that run side by side.
	portStride = 97
	loopback   = "127.0.0.1"
)

var ports = struct {
	sync.Mutex
	next int
}{next: os.Getpid() * portStride % portCount}

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
	for range portCount {
		port := firstPort + ports.next
		ports.next = (ports.next + 1) % portCount
		address := net.JoinHostPort(host, strconv.Itoa(port))
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
