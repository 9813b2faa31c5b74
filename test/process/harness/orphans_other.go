//go:build !linux

package harness

import "syscall"

// killedWithParent has no counterpart here: processes outlive a killed test.
func killedWithParent() *syscall.SysProcAttr { return nil }
