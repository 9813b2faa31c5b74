// Command citronstepd is the daemon of citronstep. A settings file selects the roles
// of the process. With -dev it runs all roles and stand-in backend servers in one
// process.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/invariant"
	"github.com/citronstep/citronstep/internal/logsink"
	"github.com/citronstep/citronstep/internal/node"
	"github.com/citronstep/citronstep/internal/runstate"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/platform"
)

// Exit codes.
const (
	exitFailure         = 1
	exitUsage           = 2
	exitDrainIncomplete = 3
)

// logOutput writes the log to standard output. A slow reader of the log never blocks
// the process.
var logOutput = logsink.New(os.Stdout)

// logFlushTimeout bounds the wait for the reader of the log at exit.
const logFlushTimeout = time.Second

func main() {
	code := run()
	closed := make(chan struct{})
	go func() {
		logOutput.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(logFlushTimeout):
	}
	os.Exit(code)
}

func run() int {
	file := flag.String("settings", "", "TOML `file` with the settings of this process")
	check := flag.Bool("check", false, "check the settings and exit")
	recoverState := flag.Bool("recover", false, "bootstrap a new cluster from the data folder of this stopped control process, and exit; a last resort (docs/operators/quorum-lost.md)")
	dev := flag.Bool("dev", false, "run all roles and stand-in backend servers in this process")
	flag.Parse()
	var received signals
	if !*check && !*recoverState {
		received = notifySignals()
	}
	switch {
	case *dev:
		return runDev(received)
	case *file == "":
		fmt.Fprintln(os.Stderr, "citronstepd: -settings FILE or -dev is required")
		flag.Usage()
		return exitUsage
	}
	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if !*check {
			_ = level.Error(newLogger("")).Log("event", "start_failed", "err", err)
		}
		return exitUsage
	}
	if *check {
		fmt.Println("settings are good")
		return 0
	}
	if *recoverState {
		return recoverFolder(s)
	}
	return runNode(s, *file, received)
}

// recoverFolder bootstraps a new cluster from this process's data folder, after the
// loss of a majority of the control disks. It returns the exit code.
func recoverFolder(s *settings.Settings) int {
	r, err := node.Recover(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, "citronstepd:", err)
		return exitFailure
	}
	fmt.Printf("new cluster %x from %x, log up to %d, surely committed up to %d\n",
		r.NewCluster, r.OldCluster, r.LastIndex, r.CommitIndex)
	return 0
}

func newLogger(name string) log.Logger {
	logger := log.NewLogfmtLogger(logOutput)
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(name, level.InfoValue())))
}

// signals holds the signals that the process has received and not handled.
type signals struct{ stop, reload chan os.Signal }

// notifySignals begins to receive signals. It is called before anything else, because a signal without a
// receiver ends the process: a SIGHUP as well that arrives while the process starts.
//
// SIGPIPE is ignored. Failure: the reader of the log ends, and the next line ends this process without a trace.
func notifySignals() signals {
	s := signals{stop: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// process is a running node, with the signals and functions that stop it.
type process struct {
	node     *node.Node
	settings *settings.Settings
	logger   log.Logger
	signals  signals
	// run is the record of this run; nil without a data folder.
	run *runstate.Run
	// file is the path of the settings file; empty for -dev.
	file string
	done chan error
	stop context.CancelFunc
}

// startNode creates a node with these settings and starts it.
func startNode(s *settings.Settings, file string, received signals) (*process, error) {
	logger := log.With(newLogger(s.Log.Level), "vm", s.VM)
	reportInvariants(logger)
	collectLibraryLines(logger)
	limitHeap(s.Limits.ProcessMemoryMB)
	if err := prepareCrashOutput(); err != nil {
		_ = level.Warn(logger).Log("event", "crash_output_unavailable", "err", err)
	}
	n, err := node.NewWithAdapter(s, logger, adapterOf(s))
	if err != nil {
		_ = level.Error(logger).Log("event", "start_failed", "err", err)
		return nil, errors.Trace(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &process{
		node: n, settings: s, logger: logger, stop: stop, signals: received, done: make(chan error, 1), file: file,
	}
	p.run = beginRun(s, logger)
	go p.reloadLoop(ctx)
	go func() { p.done <- n.Run(ctx) }()
	logStarted(logger, s, previousEnd(p.run))
	return p, nil
}

// dialBackend connects to backend servers; nil for net.Dialer. Only builds for tests set it.
var dialBackend func(ctx context.Context, network, address string) (net.Conn, error)

// heapPercent is the part of a process's memory from which on the garbage collector runs more often, in percent. The
// rest is for what the runtime does not count, and for what is allocated while it runs.
const heapPercent = 80

// limitHeap sets the soft limit of the heap by the memory that the process may take, in megabytes; 0 sets none.
//
// Failure: the heap may grow to twice of what is live before the garbage collector runs, and the process is killed for
// memory that it does not need.
func limitHeap(processMB int64) {
	if processMB > 0 {
		debug.SetMemoryLimit(processMB * 1_000_000 / 100 * heapPercent)
	}
}

// adapterOf returns the adapter that the settings name, or an empty one for none.
func adapterOf(s *settings.Settings) node.Adapter {
	a := node.Adapter{}
	if s.Adapter.Kind == platform.Kind {
		a = platform.Adapter()
	}
	a.DialBackend = dialBackend
	return a
}

// runNode serves until a signal and returns the exit code. The first SIGTERM or
// SIGINT starts a graceful stop. A second signal, or the time limit in the settings,
// ends the process at once.
func runNode(s *settings.Settings, file string, received signals) int {
	p, err := startNode(s, file, received)
	if err != nil {
		return exitFailure
	}
	return p.serve()
}

// serve waits for a signal or a failure, stops the node and returns the exit code.
func (p *process) serve() int {
	code, end := 0, runstate.Stopped
	select {
	case <-p.signals.stop:
		code = p.drain()
		p.stop()
		if err := <-p.done; err != nil {
			_ = level.Error(p.logger).Log("event", "stop_failed", "err", err)
		}
	case err := <-p.done:
		_ = level.Error(p.logger).Log("event", "failed", "err", errors.Details(err))
		code, end = exitFailure, runstate.Failed
	}
	p.stop()
	endRun(p.run, end)
	if err := p.node.Close(); err != nil {
		_ = level.Error(p.logger).Log("event", "close_failed", "err", err)
	}
	_ = level.Info(p.logger).Log("event", "stopped", "code", code)
	return code
}

// drain stops the node gracefully, until entry.drain_ms or a second signal, and
// returns the exit code.
func (p *process) drain() int {
	_ = level.Info(p.logger).Log("event", "drain", "limit_ms", p.settings.Entry.DrainMillis)
	limit := time.Duration(p.settings.Entry.DrainMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() {
		select {
		case <-p.signals.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	if !p.node.Drain(ctx) {
		_ = level.Warn(p.logger).Log("event", "drain_cut_short")
		return exitDrainIncomplete
	}
	return 0
}

// reportInvariants makes broken invariants appear in the log.
func reportInvariants(logger log.Logger) {
	invariant.SetReporter(func(v invariant.Violation) {
		_ = level.Error(logger).Log("event", "invariant_broken", "name", v.Name, "detail", v.Detail)
	})
}
