package harness

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// ownerOf returns the process among pids that holds the client end of a
// connection accepted on the loopback interface, or 0. A test needs it to cut
// one process from another: on one machine all come from the same address.
func ownerOf(accepted net.Conn, pids []int) int {
	remote, ok := accepted.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return 0
	}
	inode := inodeOf(remote.Port)
	if inode == "" {
		return 0
	}
	for _, pid := range pids {
		if holds(pid, "socket:["+inode+"]") {
			return pid
		}
	}
	return 0
}

// inodeOf finds the socket whose local port is port in /proc/net/tcp, whose
// second field is the local address in hexadecimal and whose tenth the inode.
// The ports of connections and of listeners do not meet, see ports.go.
func inodeOf(port int) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	suffix := ":" + strings.ToUpper(leftPad(strconv.FormatInt(int64(port), 16)))
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], suffix) {
			return fields[9]
		}
	}
	return ""
}

// leftPad gives a port its four hexadecimal digits.
func leftPad(port string) string { return strings.Repeat("0", 4-len(port)) + port }

func holds(pid int, socket string) bool {
	folder := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(folder, entry.Name()))
		if err == nil && target == socket {
			return true
		}
	}
	return false
}
