package blackboard

import (
	"encoding/json"
	"reflect"

	"github.com/juju/errors"
)

// Command is one typed change of the board. Its apply method checks all preconditions before it
// writes. It writes VMs and groups through the draft, and clones any other map before it writes
// to that map.
type Command interface {
	apply(d *draft) (result any, changed bool)
}

// Verdict is the result of a controller's command.
type Verdict struct {
	Applied bool `json:"applied"`
	// Reason names the precondition that did not hold.
	Reason string `json:"reason,omitempty"`
	// Epoch is the epoch of a newly formed group.
	Epoch uint64 `json:"epoch,omitempty"`
}

func refused(reason string) (any, bool) { return Verdict{Reason: reason}, false }

func applied() (any, bool) { return Verdict{Applied: true}, true }

// envelope is the encoded form of a command in the log.
type envelope struct {
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

// commandTypes maps type names in the log to constructors. A name is never reused.
var commandTypes = map[string]func() Command{
	"found":           func() Command { return &Found{} },
	"config_change":   func() Command { return &ConfigChange{} },
	"put_vm":          func() Command { return &PutVM{} },
	"set_liveness":    func() Command { return &SetLiveness{} },
	"free_vm":         func() Command { return &FreeVM{} },
	"remove_vm":       func() Command { return &RemoveVM{} },
	"form_group":      func() Command { return &FormGroup{} },
	"set_group":       func() Command { return &SetGroupState{} },
	"put_service":     func() Command { return &PutService{} },
	"remove_service":  func() Command { return &RemoveService{} },
	"put_entry":       func() Command { return &PutEntry{} },
	"remove_entry":    func() Command { return &RemoveEntry{} },
	"report_crash":    func() Command { return &ReportCrash{} },
	"forget_suspect":  func() Command { return &ClearSuspect{} },
	"retry_suspect":   func() Command { return &RetryAttributed{} },
	"take_quarantine": func() Command { return &TakeQuarantine{} },
	"end_quarantine":  func() Command { return &EndQuarantine{} },
	"replace_config":  func() Command { return &ReplaceConfiguration{} },
	"note_wait":       func() Command { return &RecordCallerTimeout{} },
	"note_rate_limit": func() Command { return &RecordRateLimit{} },
	"note_callers":    func() Command { return &RecordFirstRequest{} },
	"set_evacuation":  func() Command { return &SetEvacuation{} },
	"note_cold":       func() Command { return &MarkCold{} },
	"record_demand":   func() Command { return &RecordDemand{} },
	"patch":           func() Command { return &Patch{} },
	"batch":           func() Command { return &Batch{} },
}

// Encode returns a command as it is written to the log.
func Encode(c Command) ([]byte, error) {
	name, err := commandName(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	body, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err := json.Marshal(envelope{Type: name, Body: body})
	return data, errors.Trace(err)
}

// commandNames maps command types to their names in the log.
var commandNames = func() map[reflect.Type]string {
	names := make(map[reflect.Type]string, len(commandTypes))
	for name, build := range commandTypes {
		names[reflect.TypeOf(build()).Elem()] = name
	}
	return names
}()

func commandName(c Command) (string, error) {
	t := reflect.TypeOf(c)
	if t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if name, known := commandNames[t]; known {
		return name, nil
	}
	return "", errors.Annotatef(ErrMalformed, "command %T", c)
}

func decodeCommand(encoded []byte) (Command, error) {
	var e envelope
	if err := json.Unmarshal(encoded, &e); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "command"), ErrMalformed)
	}
	build, ok := commandTypes[e.Type]
	if !ok {
		return nil, errors.Annotatef(ErrMalformed, "command type %q", e.Type)
	}
	c := build()
	if err := json.Unmarshal(e.Body, c); err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "command %s", e.Type), ErrMalformed)
	}
	return c, nil
}

// Found bootstraps a cluster and is its first command.
type Found struct {
	ClusterID string `json:"cluster_id"`
	// Initial is the first configuration of the cluster.
	Initial ConfigChange `json:"initial"`
	// NowMillis is the wall-clock time of the process that founds the cluster.
	NowMillis int64 `json:"now_ms"`
}

func (c Found) apply(d *draft) (any, bool) {
	if d.ClusterID != "" {
		return refused("founded already")
	}
	d.ClusterID = c.ClusterID
	if c.NowMillis > 0 {
		d.TermBase = uint64(c.NowMillis)
		d.NextEpoch = uint64(c.NowMillis)
	}
	if c.Initial.ChangeID != "" {
		c.Initial.apply(d)
	}
	return applied()
}
