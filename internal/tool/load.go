package tool

import "flag"

func loadCommand() command {
	return command{name: "load", summary: "Drive a running system and check every answer",
		setup: func(*flag.FlagSet) func(*invocation) error {
			return func(i *invocation) error { return usagef("not there yet") }
		}}
}
