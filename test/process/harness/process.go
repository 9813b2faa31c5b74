package harness

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// startTimeout bounds the wait for a process to say that it is ready.
	startTimeout = 30 * time.Second
	// stopTimeout bounds the wait for the end of a killed process.
	stopTimeout = 10 * time.Second
	// logTailBytes is how much of a process's log a failed test shows.
	logTailBytes = 6 << 10
)

// Process is a process that this package started.
type Process struct {
	Name string

	t       T
	path    string
	args    []string
	logPath string

	// stdoutUnread makes the next start one whose standard output nobody reads.
	stdoutUnread bool

	mu      sync.Mutex
	command *exec.Cmd
	stdout  *lineBuffer
	done    chan struct{}
	status  int
}

// StartProcess starts a program with its log in folder. The process is killed
// when the test ends, and its log is shown if the test has failed.
func StartProcess(t T, name, folder, path string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, t: t, path: path, args: args, logPath: filepath.Join(folder, name+".log")}
	p.Start()
	t.Cleanup(p.cleanup)
	return p
}

// Start starts the process, or starts it again after its end.
func (p *Process) Start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatalf("log of %s: %v", p.Name, err)
	}
	command := exec.Command(p.path, p.args...)
	stdout := &lineBuffer{}
	command.Stdout = io.MultiWriter(stdout, log)
	if p.stdoutUnread {
		command.Stdout = p.newUnreadPipe()
	}
	command.Stderr = log
	command.Env = append(os.Environ(), "CITRONSTEP_INVARIANTS_FATAL=1")
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

// StopReading makes the process, from its next start on, one whose standard output
// is a pipe that nobody reads. Its log holds nothing then but standard error.
func (p *Process) StopReading() { p.stdoutUnread = true }

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

func (p *Process) reap(command *exec.Cmd, log *os.File, done chan struct{}) {
	_ = command.Wait()
	_ = log.Close()
	p.mu.Lock()
	p.status = command.ProcessState.ExitCode()
	p.mu.Unlock()
	close(done)
}

// PID returns the id of the running process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended():
		return false
	default:
		return true
	}
}

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

// Kill ends the process by SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	select {
	case <-p.ended():
	case <-time.After(stopTimeout):
		p.t.Errorf("%s does not end after SIGKILL", p.Name)
	}
}

// Pause stops the process by SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to end by SIGTERM, and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Reload asks the process by SIGHUP to read its settings again.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// Wait waits for the end and returns the exit status, which is -1 for an end
// by signal. The test fails when the process has not ended in time.
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

// Log returns all that the process has written.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

// AwaitLines waits for so many lines on standard output and returns them.
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
}

// lineBuffer gathers standard output.
type lineBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write gathers p.
func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lineBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	lastNewline := strings.LastIndexByte(b.text.String(), '\n')
	if lastNewline < 0 {
		return nil
	}
	return strings.Split(b.text.String()[:lastNewline], "\n")
}
