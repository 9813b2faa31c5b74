package harness

import "syscall"

// killedWithParent makes a process end with the test process, also when that one is
// killed or runs out of its time and so never comes to its cleanups.
func killedWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
