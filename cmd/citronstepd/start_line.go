package main

import (
	"math"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/runstate"
	"github.com/citronstep/citronstep/internal/settings"
)

// unknownValue stands for a value that this process can't find out.
const unknownValue = "unknown"

// logStarted writes which build runs as which process, in which roles and under which limits, and how the last run ended.
func logStarted(logger log.Logger, s *settings.Settings, previous runstate.End) {
	_ = level.Info(logger).Log("event", "started", "entry", s.Entry.Enabled, "control", s.Control.Enabled, "data_centre", s.DataCentre,
		"build", buildName(programPath), "pid", os.Getpid(),
		"max_descriptors", limitText(syscall.RLIMIT_NOFILE), "max_address_space", limitText(syscall.RLIMIT_AS),
		"previous_end", previous)
}

const (
	// programPath is the file of the program that this process runs.
	programPath = "/proc/self/exe"
	// contentPrefix marks the name of a build that was made without version control.
	contentPrefix = "buildid:"
)

// buildName returns the revision that this program was built from. For a build without version control it returns
// what tells the program in a file from others.
func buildName(program string) string {
	if revision := buildRevision(debug.ReadBuildInfo()); revision != unknownValue {
		return revision
	}
	id, err := contentID(program)
	if err != nil {
		return unknownValue
	}
	return contentPrefix + id
}

// buildRevision returns the revision that the program was built from, with "+modified" if its files had changes that
// were not committed. It returns unknownValue for a build without version control.
func buildRevision(info *debug.BuildInfo, ok bool) string {
	if !ok {
		return unknownValue
	}
	revision, modified := unknownValue, ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision" && s.Value != "":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+modified"
		}
	}
	if revision == unknownValue {
		return unknownValue
	}
	return revision + modified
}

// limitText returns the limit of a resource of this process: descriptors, or bytes.
func limitText(resource int) any {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(resource, &limit); err != nil {
		return unknownValue
	}
	if limit.Cur > math.MaxInt64 {
		return "none"
	}
	return limit.Cur
}
