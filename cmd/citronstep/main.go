// Command citronstep is the operators' command-line tool. It calls the admin API of
// the control processes and, for `load`, the entries. It keeps no state.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/citronstep/citronstep/internal/tool"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := tool.Run(ctx, os.Args[1:], tool.Streams{Out: os.Stdout, Err: os.Stderr}, os.Getenv)
	stop()
	os.Exit(int(code))
}
