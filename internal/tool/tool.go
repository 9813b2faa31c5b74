// Package tool implements cmd/citronstep, the command-line tool for operators. It calls the
// admin API (internal/adminapi) only; the load command also calls the entries' API for callers.
package tool

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"
)

// Streams are the outputs of the tool: results go to Out, progress and errors to Err, so that a
// script can read Out alone.
type Streams struct{ Out, Err io.Writer }

// command is one subcommand.
type command struct {
	name string
	// arguments is the part of the usage line after the name.
	arguments string
	summary   string
	// details is printed after the summary in the command's help.
	details string
	// setup registers the command's own flags and returns its run function.
	setup func(*flag.FlagSet) func(*invocation) error
}

// invocation is one run of one command.
type invocation struct {
	ctx     context.Context
	out     io.Writer
	err     io.Writer
	args    []string
	json    bool
	command command
	admin   *client
}

// commands returns all subcommands in the order in which the help lists them.
func commands() []command {
	return []command{
		initCommand(), statusCommand(), applyCommand(), diffCommand(), replaceCommand(),
		presetCommand(), workspaceCommand(), groupCommand(),
		drainCommand(), undrainCommand(), evacuateCommand(), returnCommand(), eventsCommand(), explainCommand(), poolsCommand(), loadCommand(),
	}
}

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, to Streams, getenv func(string) string) ExitCode {
	asJSON, err := run(ctx, args, to, getenv)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		_, _ = io.WriteString(to.Err, describeError(err, asJSON))
	}
	return exitCodeOf(err)
}

func run(ctx context.Context, args []string, to Streams, getenv func(string) string) (asJSON bool, err error) {
	if len(args) == 0 {
		writeOverview(to.Err)
		return false, usagef("no command given")
	}
	if name := args[0]; name == "-h" || name == "-help" || name == "--help" || name == "help" {
		writeOverview(to.Out)
		return false, nil
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(ctx, args[1:], to, getenv)
		}
	}
	return false, usagef("unknown command %q; see citronstep -h", args[0])
}

func (c command) run(ctx context.Context, args []string, to Streams, getenv func(string) string) (asJSON bool, err error) {
	set := flag.NewFlagSet(c.name, flag.ContinueOnError)
	set.SetOutput(io.Discard)
	connect := &connectionFlags{}
	connect.register(set)
	action := c.setup(set)
	positional, err := parse(set, args)
	if errors.Is(err, flag.ErrHelp) {
		c.writeHelp(to.Out, set)
		return false, err
	}
	if err != nil {
		return connect.json, usagef("%v; see citronstep %s -h", err, c.name)
	}
	where, err := connect.resolve(getenv)
	if err != nil {
		return connect.json, err
	}
	return connect.json, action(&invocation{
		ctx: ctx, out: to.Out, err: to.Err, args: positional,
		json: connect.json, command: c, admin: newClient(where),
	})
}

// parse accepts flags before, between and after the arguments; package flag alone stops at the
// first argument.
func parse(set *flag.FlagSet, args []string) (positional []string, err error) {
	for {
		if err := set.Parse(args); err != nil {
			return nil, err
		}
		if set.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, set.Arg(0))
		args = set.Args()[1:]
	}
}

func writeOverview(w io.Writer) {
	var b strings.Builder
	b.WriteString("Usage: citronstep COMMAND [arguments] [flags]\n\nCommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(&b, "  %-10s %s\n", c.name, c.summary)
	}
	b.WriteString("\ncitronstep COMMAND -h shows a command's arguments, flags and examples.\n\n" + exitCodesHelp)
	_, _ = io.WriteString(w, b.String())
}

func (c command) writeHelp(w io.Writer, set *flag.FlagSet) {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: citronstep %s\n\n%s.\n", strings.TrimSpace(c.name+" "+c.arguments+" [flags]"), c.summary)
	if c.details != "" {
		b.WriteString("\n" + c.details)
	}
	b.WriteString("\nFlags:\n")
	set.SetOutput(&b)
	set.PrintDefaults()
	b.WriteString("\n" + exitCodesHelp)
	_, _ = io.WriteString(w, b.String())
}

// requireArgs returns a usage error unless there are n arguments.
func (i *invocation) requireArgs(n int) error {
	if len(i.args) != n {
		return i.usage()
	}
	return nil
}

func (i *invocation) usage() error {
	return usagef("usage: citronstep %s %s; see citronstep %s -h", i.command.name, i.command.arguments, i.command.name)
}

// printJSON writes v to standard output as one indented JSON document.
func (i *invocation) printJSON(v any) error {
	encoder := json.NewEncoder(i.out)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(v))
}

// printProgress writes a line about the progress of a long command to standard error.
func (i *invocation) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(i.err, format+"\n", args...)
}

// printf writes one line of a result for people.
func (i *invocation) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(i.out, format+"\n", args...)
}

// printLine writes v as JSON on one line.
func (i *invocation) printLine(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = i.out.Write(append(data, '\n'))
}
