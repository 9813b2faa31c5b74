package harness

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/citronstep/citronstep/test/serverlinks"
)

const (
	// startTimeout bounds the wait for a process to report that it is ready.
	startTimeout = 30 * time.Second
	// stopTimeout bounds the wait for the end of a killed process, and for the stop of a paused one.
	stopTimeout = 10 * time.Second
	// logTailBytes is how much of the end of a process's log a failed test prints.
	logTailBytes = 6 << 10
)

// Process is a child process that this package started.
type Process struct {
	Name string

	t       T
	path    string
	args    []string
	logPath string

	// environment holds variables, as NAME=VALUE, that the next start adds to those of the test.
	environment []string
	// maxDescriptors limits the open descriptors from the next start on; 0 for no limit of its own.
	maxDescriptors int
	// stdoutUnread makes the next start attach standard output to a pipe that nobody reads.
	stdoutUnread bool
	// stdoutLost makes the next start attach standard output to a pipe whose reader has ended.
	stdoutLost bool

	mu      sync.Mutex
	command *exec.Cmd
	stdout  *lineBuffer
	done    chan struct{}
	status  int
}

// StartProcess starts a program that logs to the file NAME.log in folder. When the test ends, the
// process is killed, and the end of its log is printed if the test has failed.
func StartProcess(t T, name, folder, path string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, t: t, path: path, args: args, logPath: filepath.Join(folder, name+".log")}
	p.Start()
	t.Cleanup(p.cleanup)
	return p
}

// Start starts the process, or restarts it after its end.
func (p *Process) Start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatalf("log of %s: %v", p.Name, err)
	}
	command := p.newCommand()
	stdout := &lineBuffer{}
	command.Stdout = io.MultiWriter(stdout, log)
	if p.stdoutUnread {
		command.Stdout = p.newUnreadPipe()
	}
	if p.stdoutLost {
		command.Stdout = p.newLostPipe()
	}
	command.Stderr = log
	command.Env = append(os.Environ(), "CITRONSTEP_INVARIANTS_FATAL=1", serverlinks.Variable+"="+p.serverLinksFile())
	command.Env = append(command.Env, p.environment...)
	command.SysProcAttr = killedWithParent()
	if err := command.Start(); err != nil {
		_ = log.Close()
		p.t.Fatalf("starting %s: %v", p.Name, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.stdout, p.done = command, stdout, done
	p.mu.Unlock()
	go p.reap(command, log, done)
}

func (p *Process) serverLinksFile() string { return p.logPath + ".server-links" }

// CutServers makes the links of a daemon to all backend servers fail in the named way, see
// serverlinks.Names.
func (p *Process) CutServers(how string) {
	p.t.Helper()
	if err := os.WriteFile(p.serverLinksFile(), []byte(how), 0o600); err != nil {
		p.t.Fatalf("links of %s: %v", p.Name, err)
	}
}

// HealServers ends a fault of CutServers.
func (p *Process) HealServers() { _ = os.Remove(p.serverLinksFile()) }

// StopReading attaches standard output, from the next start on, to a pipe that nobody reads. The
// log then receives standard error only.
func (p *Process) StopReading() { p.stdoutUnread = true }

// LoseReader attaches standard output, from the next start on, to a pipe whose reader has ended. The
// log then receives standard error only.
func (p *Process) LoseReader() { p.stdoutLost = true }

// newCommand returns the command that runs the program, through a shell if that is to set a limit.
func (p *Process) newCommand() *exec.Cmd {
	if p.maxDescriptors == 0 {
		return exec.Command(p.path, p.args...)
	}
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, p.maxDescriptors)
	return exec.Command("/bin/sh", append([]string{"-c", script, p.path}, p.args...)...)
}

// LimitDescriptors limits the open descriptors of the process from the next start on.
func (p *Process) LimitDescriptors(count int) { p.maxDescriptors = count }

// MaxDescriptors returns that limit, or 0 if there is none.
func (p *Process) MaxDescriptors() int { return p.maxDescriptors }

// SetEnvironment adds variables, as NAME=VALUE, to the environment from the next start on.
func (p *Process) SetEnvironment(variables ...string) { p.environment = variables }

// LimitProcessorTime lets the process run for a part of each period only, until the returned function is called.
func (p *Process) LimitProcessorTime(run, period time.Duration) (end func()) {
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		defer p.Resume()
		periods := time.NewTicker(period)
		defer periods.Stop()
		for {
			p.Resume()
			time.Sleep(run)
			p.signal(syscall.SIGSTOP)
			select {
			case <-periods.C:
			case <-stop:
				return
			}
		}
	}()
	return func() {
		close(stop)
		<-ended
	}
}

func (p *Process) newLostPipe() *os.File {
	reader, writer, err := os.Pipe()
	if err != nil {
		p.t.Fatalf("pipe of %s: %v", p.Name, err)
	}
	_ = reader.Close()
	p.t.Cleanup(func() { _ = writer.Close() })
	return writer
}

func (p *Process) newUnreadPipe() *os.File {
	reader, writer, err := os.Pipe()
	if err != nil {
		p.t.Fatalf("pipe of %s: %v", p.Name, err)
	}
	p.t.Cleanup(func() {
		_ = writer.Close()
		_ = reader.Close()
	})
	return writer
}

// reap waits for the end of the process, keeps its exit status and closes done.
func (p *Process) reap(command *exec.Cmd, log *os.File, done chan struct{}) {
	_ = command.Wait()
	_ = log.Close()
	p.mu.Lock()
	p.status = command.ProcessState.ExitCode()
	p.mu.Unlock()
	close(done)
}

// PID returns the process id.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended():
		return false
	default:
		return true
	}
}

// ended returns a channel that is closed when the process has ended.
func (p *Process) ended() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// Kill sends SIGKILL and waits for the end of the process.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	select {
	case <-p.ended():
	case <-time.After(stopTimeout):
		p.t.Errorf("%s does not end after SIGKILL", p.Name)
	}
}

// Pause suspends the process by SIGSTOP and returns once all its threads are stopped, or it has ended. Until one of
// its threads gets a processor and takes the signal, all of them go on.
func (p *Process) Pause() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	for end := time.Now().Add(stopTimeout); p.Running() && !isStopped(p.PID()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Errorf("%s does not stop after SIGSTOP", p.Name)
			return
		}
	}
}

// Resume continues a paused process by SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Reload sends SIGHUP, on which the process reads its settings again.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// Abort sends SIGABRT, at which the process crashes with a trace.
func (p *Process) Abort() { p.signal(syscall.SIGABRT) }

// Output returns what the process has written to standard output since its last start.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stdout.String()
}

// Wait waits for the end of the process and returns its exit status, which is -1 after an end by
// signal. The test fails if the process has not ended within timeout.
func (p *Process) Wait(timeout time.Duration) int {
	p.t.Helper()
	select {
	case <-p.ended():
	case <-time.After(timeout):
		p.t.Fatalf("%s has not ended within %s", p.Name, timeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

// Log returns everything that the process has written to its log since its first start.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

// AwaitLines waits until the process has printed count lines on standard output, and returns
// all lines printed so far.
func (p *Process) AwaitLines(count int) []string {
	p.t.Helper()
	deadline := time.Now().Add(startTimeout)
	for {
		p.mu.Lock()
		lines := p.stdout.lines()
		p.mu.Unlock()
		if len(lines) >= count {
			return lines
		}
		if !p.Running() || time.Now().After(deadline) {
			p.t.Fatalf("%s printed %d of %d lines; its log:\n%s", p.Name, len(lines), count, p.Log())
		}
		time.Sleep(pollInterval)
	}
}

func (p *Process) cleanup() {
	p.Kill()
	if !p.t.Failed() {
		return
	}
	text := p.Log()
	p.t.Logf("end of the log of %s:\n%s", p.Name, text[max(0, len(text)-logTailBytes):])
	p.keepLog(text)
}

// logFolderVariable is the environment variable that names the folder for the complete logs of failed tests.
const logFolderVariable = "CITRONSTEP_TEST_LOGS"

// keepLog writes the complete log of a failed test's process to the folder for them, if one is set.
func (p *Process) keepLog(text string) {
	folder := os.Getenv(logFolderVariable)
	if folder == "" {
		return
	}
	name := fmt.Sprintf("%s-%d.log", p.Name, time.Now().UnixNano())
	if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
		p.t.Logf("the log of %s is not kept: %v", p.Name, err)
	}
}

// lineBuffer collects standard output.
type lineBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the text written so far.
func (b *lineBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// lines returns the complete lines written so far.
func (b *lineBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	lastNewline := strings.LastIndexByte(b.text.String(), '\n')
	if lastNewline < 0 {
		return nil
	}
	return strings.Split(b.text.String()[:lastNewline], "\n")
}
