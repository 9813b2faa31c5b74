package blackboard

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Batch applies several commands in order as one log entry. Each command checks its own
// preconditions. A refused command does not affect the others.
//
// A controller has dozens of commands at once at start-up and when a fabric domain is lost. A
// log entry for each command would cost a sync on a majority of the control VMs and a message to
// each Entry.
type Batch struct {
	Commands []json.RawMessage `json:"commands"`
}

// NewBatch returns one command that applies all given commands. It returns a single command
// unchanged.
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

// apply returns the applied verdict if any command changed the board, and otherwise the result
// of the last refused command.
//
// All commands share one draft. If the shared draft breaks an invariant, apply repeats the batch
// with a separate draft for each command, so that only the faulty command is left out. A command
// that checks its preconditions never breaks an invariant.
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
	next.keepsRevision = false
	d.replaceWith(next)
	return applied()
}

// applyAll applies the commands in order with the given apply function. A refused command
// changes nothing. Crashes that are reported one after the other are attributed together.
func (c Batch) applyAll(d *draft, apply func(*draft, Command) (any, bool)) (refusal any, changed bool) {
	refusal = Verdict{Reason: "empty batch"}
	var crashes crashBatch
	defer func() { crashes.attribute(d.Suspects) }()
	for _, encoded := range c.Commands {
		command, err := decodeCommand(encoded)
		if err != nil {
			refusal = Verdict{Reason: err.Error()}
			continue
		}
		var result any
		var didChange bool
		if report, ok := command.(*ReportCrash); ok {
			result, didChange = report.applyTo(d, &crashes)
		} else {
			crashes.attribute(d.Suspects)
			result, didChange = apply(d, command)
		}
		if !didChange {
			refusal = result
			continue
		}
		changed = true
	}
	return refusal, changed
}

// applyInPlace applies a command directly to the draft.
func applyInPlace(d *draft, c Command) (any, bool) { return c.apply(d) }

// applyIsolated applies a command to a separate draft and adopts that draft unless it breaks an
// invariant.
func applyIsolated(d *draft, c Command) (any, bool) {
	next := d.draft()
	result, changed := c.apply(next)
	if !changed || !next.checkMembership() {
		return result, false
	}
	d.replaceWith(next)
	return result, true
}
