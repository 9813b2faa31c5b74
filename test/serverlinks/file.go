package serverlinks

import (
	"os"
	"strings"
	"time"
)

// Variable is the environment variable that names the file that a process follows.
const Variable = "CITRONSTEP_SERVER_LINKS"

// pollInterval is the time between two readings of a followed file.
const pollInterval = 20 * time.Millisecond

// faultsByName holds the words that a followed file may contain.
var faultsByName = map[string]Fault{"reset": Reset, "hang": Hang, "refuse-new": RefuseNew}

// Names returns the words that a followed file may contain, in a fixed order.
func Names() []string { return []string{"reset", "hang", "refuse-new"} }

// Follow returns links whose fault is the word in a file. Without the file, the links work.
func Follow(file string) *Links {
	l := New()
	go func() {
		current := Work
		for ; ; time.Sleep(pollInterval) {
			text, _ := os.ReadFile(file)
			if next := faultsByName[strings.TrimSpace(string(text))]; next != current {
				current = next
				l.Set(next, nil)
			}
		}
	}()
	return l
}
