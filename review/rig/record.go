//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// record is record.txt: one line for each thing that was sent, answered or run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		couldNotRun("%v", err)
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}
}

// add writes a line: the seconds since the start, who, what, and pairs of a name and a value.
func (r *record) add(who, what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f %s %s", time.Since(r.began).Seconds(), who, what)
	for i := 0; i+1 < len(pairs); i += 2 {
		_, _ = fmt.Fprintf(r.out, " %v=%v", pairs[i], pairs[i+1])
	}
	_, _ = fmt.Fprintln(r.out)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// exitFolder is the temporary folder that is removed when a case could not run.
var exitFolder atomic.Pointer[string]

func removeAtExit(folder string) { exitFolder.Store(&folder) }

// couldNotRun ends a case that could not run. Its processes end with this one.
func couldNotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	if folder := exitFolder.Load(); folder != nil {
		_ = os.RemoveAll(*folder)
	}
	os.Exit(2)
}
