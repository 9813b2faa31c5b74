package harness

import "syscall"

// killedWithParent returns attributes with which the kernel kills a child when the test process
// ends. This covers a test process that is killed or times out and so runs no cleanups.
func killedWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
