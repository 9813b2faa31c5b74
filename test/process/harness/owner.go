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
	remote, remoteOK := accepted.RemoteAddr().(*net.TCPAddr)
	local, localOK := accepted.LocalAddr().(*net.TCPAddr)
	if !remoteOK || !localOK {
		return 0
	}
	inode := inodeOf(remote.Port, local.Port)
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

// inodeOf finds the socket between two ports in /proc/net/tcp, whose second and
// third fields are the local and the remote address in hexadecimal and whose
// tenth is the inode. Both ends must match: Linux gives one local port to
// connections to several listeners.
func inodeOf(from, to int) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	fromSuffix, toSuffix := portSuffix(from), portSuffix(to)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fromSuffix) && strings.HasSuffix(fields[2], toSuffix) {
			return fields[9]
		}
	}
	return ""
}

// portSuffix is how an address of /proc/net/tcp ends: the port in four
// hexadecimal digits.
func portSuffix(port int) string {
	digits := strings.ToUpper(strconv.FormatInt(int64(port), 16))
	return ":" + strings.Repeat("0", 4-len(digits)) + digits
}

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
