package blackboard

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Batch applies several commands in order as one entry of the log. Each checks
// its own preconditions; one that is refused leaves the others as they are.
//
// It is for the start and for the loss of a fabric domain, when a controller
// has dozens of commands at once: each entry of its own costs a sync on a
// majority of the control VMs and a message to each entry.
type Batch struct {
	Commands []json.RawMessage `json:"commands"`
}

// NewBatch returns one command that applies all of them. One command needs no
// batch and is returned as it is.
func NewBatch(commands []Command) (Command, error) {
	if len(commands) == 1 {
		return commands[0], nil
	}
	batch := &Batch{}
	for _, c := range commands {
		encoded, err := Encode(c)
		if err != nil {
			return nil, errors.Trace(err)
		}
		batch.Commands = append(batch.Commands, encoded)
	}
	return batch, nil
}

// apply returns applied when any of the commands changed the board, and else
// the last refusal.
func (c Batch) apply(b *Board) (any, bool) {
	var refusal any = Verdict{Reason: "empty batch"}
	changed := false
	for _, encoded := range c.Commands {
		command, err := decodeCommand(encoded)
		if err != nil {
			refusal = Verdict{Reason: err.Error()}
			continue
		}
		next := *b
		result, did := command.apply(&next)
		if !did || !next.consistent() {
			refusal = result
			continue
		}
		*b = next
		changed = true
	}
	if changed {
		return applied()
	}
	return refusal, false
}
