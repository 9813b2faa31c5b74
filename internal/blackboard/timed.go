package blackboard

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// timed is a command with times. The clocks of two processes may differ by seconds, so that the times
// of their commands can't be compared until the leader has set them by its own clock.
type timed interface {
	Command
	setTimes(now time.Time)
}

// SetTimes returns an encoded command with the times that its sender has set replaced by those of
// the clock that now is read from. Other commands are returned as they are.
//
// Failure: the clocks of some entries are stepped. The crashes that they report seem to overlap
// those that others report, and a request that crashes servers without end is never blamed.
func SetTimes(encoded []byte, now time.Time) ([]byte, error) {
	var e envelope
	if err := json.Unmarshal(encoded, &e); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "command"), ErrMalformed)
	}
	build, ok := commandTypes[e.Type]
	if !ok {
		return encoded, nil
	}
	switch c := build().(type) {
	case timed:
		if err := json.Unmarshal(e.Body, c); err != nil {
			return nil, errors.WithType(errors.Annotatef(err, "command %s", e.Type), ErrMalformed)
		}
		c.setTimes(now)
		return Encode(c)
	case *Batch:
		return setBatchTimes(e.Body, now)
	}
	return encoded, nil
}

func setBatchTimes(body json.RawMessage, now time.Time) ([]byte, error) {
	var batch Batch
	if err := json.Unmarshal(body, &batch); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "command batch"), ErrMalformed)
	}
	for i, encoded := range batch.Commands {
		set, err := SetTimes(encoded, now)
		if err != nil {
			return nil, errors.Trace(err)
		}
		batch.Commands[i] = set
	}
	return Encode(batch)
}
