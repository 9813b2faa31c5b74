//go:build !linux

package harness

import "syscall"

// dieWithTest has no counterpart here: processes outlive a killed test.
func dieWithTest() *syscall.SysProcAttr { return nil }
