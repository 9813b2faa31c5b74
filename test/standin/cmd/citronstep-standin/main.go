// Command citronstep-standin runs stand-in engines, plain services or the weight store as a
// process, for tests and trials. It is not shipped.
//
//	citronstep-standin -engines 4 -announce 127.0.0.1:8080 -fabric-domain d1
//	citronstep-standin -service echo -instances 2 -announce 127.0.0.1:8080
//	citronstep-standin -weight-store 127.0.0.1:7070
//
// When a stand-in is ready, the command prints one line "ready ID ADDRESS" for it. The command
// ends on SIGINT or SIGTERM.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/standin"
)

// exitUsage is the exit status for an invalid command line or an unreadable secret file.
const exitUsage = 2

// exitCrash is the exit status when an injected crash ends the process.
const exitCrash = 3

func main() {
	logger := level.NewFilter(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), level.AllowInfo())
	f, err := parseFlags(os.Args[1:])
	if err != nil {
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, f, logger); err != nil {
		_ = level.Error(logger).Log("msg", "stand-in failed", "err", err)
		os.Exit(1)
	}
}

// closer is a running stand-in.
type closer interface{ Close() }

func run(ctx context.Context, f *flags, logger log.Logger) error {
	recorder, err := openRecorder(f.runs)
	if err != nil {
		return err
	}
	var running []closer
	defer func() {
		for _, s := range running {
			s.Close()
		}
	}()
	for i := range f.standinCount() {
		started, err := f.startStandin(ctx, i, recorder, logger)
		if err != nil {
			return err
		}
		running = append(running, started)
	}
	<-ctx.Done()
	return nil
}

// openRecorder returns a recorder that appends runs to the file, so that runs of earlier processes
// are kept. Without a path, runs are kept in memory only.
func openRecorder(path string) (*standin.Recorder, error) {
	if path == "" {
		return standin.NewRecorder(nil), nil
	}
	sink, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return standin.NewRecorder(sink), nil
}

// startStandin starts the i-th stand-in of the kind that the flags select, and prints that it is
// ready.
func (f *flags) startStandin(ctx context.Context, i int, r *standin.Recorder, l log.Logger) (closer, error) {
	switch {
	case f.weightStore != "":
		store, err := standin.StartWeightStore(ctx, f.weightStoreOptions())
		if err != nil {
			return nil, err
		}
		printReady(os.Stdout, "weights", store.Address())
		return store, nil
	case f.service != "":
		o := f.serviceOptions(i, r, l)
		service, err := standin.StartService(ctx, o)
		if err != nil {
			return nil, err
		}
		printReady(os.Stdout, o.ID, service.ListenAddress())
		return service, nil
	default:
		o := f.engineOptions(i, r, l)
		engine, err := standin.StartEngine(ctx, o)
		if err != nil {
			return nil, err
		}
		printReady(os.Stdout, o.ID, engine.ListenAddress())
		return engine, nil
	}
}

func printReady(w io.Writer, id, address string) {
	_, _ = fmt.Fprintf(w, "ready %s %s\n", id, address)
}

// parseFlags parses the command line. On an error, package flag has already printed the reason.
func parseFlags(args []string) (*flags, error) {
	f := &flags{}
	set := flag.NewFlagSet("citronstep-standin", flag.ContinueOnError)
	f.register(set)
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	return f, nil
}
