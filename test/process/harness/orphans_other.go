//go:build !linux

package harness

import "syscall"

// killedWithParent returns nil: on other systems the children outlive a killed test process.
func killedWithParent() *syscall.SysProcAttr { return nil }
