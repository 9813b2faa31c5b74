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
//
// The commands share one draft. Should one of them break an invariant, which no
// command that checks its preconditions does, all are applied anew with a draft
// each, so that the one is left out and the others stay.
func (c Batch) apply(d *draft) (any, bool) {
	next := d.draft()
	refusal, changed := c.applyAll(next, applyInPlace)
	if changed && !next.checkMembership() {
		next = d.draft()
		refusal, changed = c.applyAll(next, applyIsolated)
	}
	if !changed {
		return refusal, false
	}
	d.replaceWith(next)
	return applied()
}

// applyAll applies the commands in order. A command that is refused has changed nothing.
func (c Batch) applyAll(d *draft, apply func(*draft, Command) (any, bool)) (refusal any, changed bool) {
	refusal = Verdict{Reason: "empty batch"}
	for _, encoded := range c.Commands {
		command, err := decodeCommand(encoded)
		if err != nil {
			refusal = Verdict{Reason: err.Error()}
			continue
		}
		result, didChange := apply(d, command)
		if !didChange {
			refusal = result
			continue
		}
		changed = true
	}
	return refusal, changed
}

// applyInPlace applies a command to the draft itself.
func applyInPlace(d *draft, c Command) (any, bool) { return c.apply(d) }

// applyIsolated applies a command to a draft of its own, and takes that over unless it
// breaks an invariant.
func applyIsolated(d *draft, c Command) (any, bool) {
	next := d.draft()
	result, changed := c.apply(next)
	if !changed || !next.checkMembership() {
		return result, false
	}
	d.replaceWith(next)
	return result, true
}
