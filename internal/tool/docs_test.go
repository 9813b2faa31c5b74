package tool

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// documents returns the pages whose commands are checked.
func documents(t *testing.T) []string {
	t.Helper()
	pages, err := filepath.Glob("../../docs/operators/*.md")
	assert.NilError(t, err)
	assert.Assert(t, len(pages) > 5)
	return append(pages, "../../README.md", "../../docs/callers.md", "../../CONTRIBUTING.md")
}

// commandLines returns the command lines of the tool in a page: lines indented by four spaces
// and text between back quotes.
func commandLines(t *testing.T, page string) []string {
	t.Helper()
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	text := strings.ReplaceAll(string(data), "go run ./cmd/citronstep ", "citronstep ")
	var lines []string
	for _, m := range regexp.MustCompile("`(citronstep [^`]+)`").FindAllStringSubmatch(text, -1) {
		lines = append(lines, strings.Join(strings.Fields(m[1]), " "))
	}
	for _, line := range strings.Split(text, "\n") {
		if code := strings.TrimPrefix(line, "    "); code != line && strings.HasPrefix(strings.TrimSpace(code), "citronstep ") {
			lines = append(lines, strings.TrimSpace(code))
		}
	}
	return lines
}

// Operators copy commands from these pages during incidents. The test fails when a page names a
// command, subcommand or flag that does not exist.
func TestDocumentedCommandsExist(t *testing.T) {
	checked := 0
	for _, page := range documents(t) {
		for _, line := range commandLines(t, page) {
			checkCommandLine(t, page, line)
			checked++
		}
	}
	assert.Assert(t, checked > 30, "only %d command lines found", checked)
}

func checkCommandLine(t *testing.T, page, line string) {
	t.Helper()
	words := strings.Fields(line)
	if words[1] == "COMMAND" {
		return
	}
	for _, c := range commands() {
		if c.name != words[1] {
			continue
		}
		set := flag.NewFlagSet(c.name, flag.ContinueOnError)
		set.SetOutput(&strings.Builder{})
		(&connectionFlags{}).register(set)
		c.setup(set)
		positional, err := parse(set, words[2:])
		assert.NilError(t, err, "%s: %s", page, line)
		if subcommands := firstWords(c.arguments); len(subcommands) > 0 && len(positional) > 0 {
			assert.Assert(t, slices.Contains(subcommands, positional[0]), "%s: %s", page, line)
		}
		return
	}
	t.Fatalf("%s: no such command: %s", page, line)
}

// firstWords returns the first words of "list | use NAME" that are in lower case.
func firstWords(arguments string) []string {
	var first []string
	for _, alternative := range strings.Split(arguments, "|") {
		word := strings.Fields(alternative + " X")[0]
		if word == strings.ToLower(word) {
			first = append(first, word)
		}
	}
	return first
}

// The flags of citronstepd that a page names must exist in its source.
func TestDocumentedDaemonFlagsExist(t *testing.T) {
	source, err := os.ReadFile("../../cmd/citronstepd/main.go")
	assert.NilError(t, err)
	for _, page := range documents(t) {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, m := range regexp.MustCompile(`citronstepd((?: -[a-z]+| [a-z/._-]+)*)`).FindAllStringSubmatch(string(data), -1) {
			for _, word := range strings.Fields(m[1]) {
				if name, isFlag := strings.CutPrefix(word, "-"); isFlag {
					assert.Assert(t, strings.Contains(string(source), `("`+name+`"`), "%s: %s", page, m[0])
				}
			}
		}
	}
}

// Each file that a page links to must exist.
func TestDocumentLinksExist(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	assert.NilError(t, err)
	design, err := filepath.Glob("../../docs/design/*.md")
	assert.NilError(t, err)
	for _, page := range append(append(documents(t), pages...), design...) {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, m := range regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`).FindAllStringSubmatch(string(data), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			assert.NilError(t, err, "%s names %s", page, m[1])
		}
	}
}
