package tool

import (
	"flag"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/explain"
	"github.com/citronstep/citronstep/internal/failure"
)

// defaultSkew is the assumed clock difference between two VMs: a few seconds, as is usual when
// a clock has just been set.
const defaultSkew = 5 * time.Second

func explainCommand() command {
	return command{
		name:      "explain",
		arguments: "ID LOG...",
		summary:   "Find in the logs of several processes why a request failed or was late",
		details: `Reads the logs that processes wrote to standard output ("-" is standard input),
prints in order the lines about the request and about the groups, entries and leader
that it depended on, and ends with a sentence that states the cause. The id is the
caller's own id or the one that an entry logged. The command sends no request. Exit
code 4 means that no line names the request: it did not reach these entries, or its
lines were dropped.

Example: citronstep explain 9c41d07be2a35f68 entry-*.log control-*.log
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			skew := set.Duration("skew", defaultSkew, "largest difference between the clocks of two VMs")
			return func(i *invocation) error { return i.explain(*skew) }
		},
	}
}

// explainResult is the JSON form of an explanation.
type explainResult struct {
	Cause string   `json:"cause"`
	Lines []string `json:"lines"`
}

// explain prints the log lines of one request and the cause of its outcome.
func (i *invocation) explain(skew time.Duration) error {
	if len(i.args) < 2 {
		return usagef("give a request id and at least one log file")
	}
	logs := &explain.Logs{}
	for _, path := range i.args[1:] {
		if err := readLog(logs, path); err != nil {
			return err
		}
	}
	story, err := logs.Explain(i.args[0], skew)
	if errors.Is(err, explain.ErrNoLines) {
		return failure.New(failure.TypeNotFound, explain.ErrNoLines.Error()).WithDetail(i.args[0])
	}
	if err != nil {
		return errors.Trace(err)
	}
	return i.printExplanation(story)
}

// readLog adds the lines of the log at path to logs; "-" is standard input.
func readLog(logs *explain.Logs, path string) error {
	if path == "-" {
		return errors.Trace(logs.Read(os.Stdin))
	}
	file, err := os.Open(path)
	if err != nil {
		return usagef("%v", err)
	}
	defer func() { _ = file.Close() }()
	return errors.Annotate(logs.Read(file), path)
}

func (i *invocation) printExplanation(story explain.Story) error {
	if i.json {
		result := explainResult{Cause: story.Cause}
		for _, line := range story.Lines {
			result.Lines = append(result.Lines, line.Text)
		}
		return i.printJSON(result)
	}
	for _, line := range story.Lines {
		i.printf("%s", line.Text)
	}
	i.printf("\n%s", story.Cause)
	return nil
}
