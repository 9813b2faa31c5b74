package tomlfile

import (
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// Document is a decoded document. It keeps the positions of its keys, so that
// faults found after decoding name a line and column.
type Document struct {
	file      string
	positions *positions
	faults    Faults
}

// Decode decodes data into the struct with toml tags that into points to. Values
// already in the struct are defaults. file is the document's name in faults. A
// syntax error, a key that the struct lacks and a value of a wrong type are faults
// of the returned document.
func Decode(file string, data []byte, into any) *Document {
	d := &Document{file: file}
	tree := map[string]any{}
	if err := toml.Unmarshal(data, &tree); err != nil {
		d.positions = findPositions(nil)
		d.faults = Faults{syntaxFault(file, err)}
		return d
	}
	d.positions = findPositions(data)
	d.fillStruct("", reflect.ValueOf(into).Elem(), tree)
	return d
}

func syntaxFault(file string, err error) Fault {
	fault := Fault{File: file, Message: strings.TrimPrefix(err.Error(), "toml: "), Allowed: "valid TOML"}
	var decoding *toml.DecodeError
	if errors.As(err, &decoding) {
		fault.Line, fault.Column = decoding.Position()
		fault.Key = strings.Join(decoding.Key(), ".")
	}
	return fault
}

// AddFault adds a fault at the position of key, or of its nearest enclosing table if
// the key is absent.
func (d *Document) AddFault(key, message, allowed string) {
	at := d.positions.lookup(key)
	d.faults = append(d.faults, Fault{
		File: d.file, Line: at.line, Column: at.column, Key: key, Message: message, Allowed: allowed,
	})
}

// HasFault reports whether the document already has a fault for exactly this key. Checks
// use it so that a value of a wrong type is not also reported as missing.
func (d *Document) HasFault(key string) bool {
	for _, f := range d.faults {
		if f.Key == key {
			return true
		}
	}
	return false
}

// HasSyntaxError reports whether the document has a syntax error, so that none of its
// values was decoded.
func (d *Document) HasSyntaxError() bool {
	return len(d.faults) == 1 && d.faults[0].Allowed == "valid TOML"
}

// Faults returns the faults found so far, ordered by their position in the file.
func (d *Document) Faults() Faults {
	d.faults.Sort()
	return d.faults
}

// fillStruct sets the fields of the struct to from tree, the table named table.
func (d *Document) fillStruct(table string, to reflect.Value, tree map[string]any) {
	fields := fieldsByKey(to)
	for _, key := range sortedKeys(tree) {
		field, known := fields[key]
		if !known {
			d.AddFault(joinKey(table, key), "unknown key", strings.Join(sortedKeys(fields), ", "))
			continue
		}
		d.fill(joinKey(table, key), field, tree[key])
	}
}

// fill sets to from the decoded value of key, or adds a fault for a wrong type.
func (d *Document) fill(key string, to reflect.Value, value any) {
	switch to.Kind() {
	case reflect.Pointer:
		to.Set(reflect.New(to.Type().Elem()))
		d.fill(key, to.Elem(), value)
		return
	case reflect.Struct:
		if tree, ok := value.(map[string]any); ok {
			d.fillStruct(key, to, tree)
			return
		}
	case reflect.Slice:
		if list, ok := value.([]any); ok {
			d.fillSlice(key, to, list)
			return
		}
	case reflect.Map:
		if tree, ok := value.(map[string]any); ok {
			d.fillMap(key, to, tree)
			return
		}
	default:
		if setScalar(to, value) {
			return
		}
	}
	d.AddFault(key, "wrong type", kindName(to.Type()))
}

func (d *Document) fillSlice(key string, to reflect.Value, list []any) {
	filled := reflect.MakeSlice(to.Type(), len(list), len(list))
	for i, value := range list {
		d.fill(elementKey(key, i), filled.Index(i), value)
	}
	to.Set(filled)
}

func (d *Document) fillMap(key string, to reflect.Value, tree map[string]any) {
	filled := reflect.MakeMapWithSize(to.Type(), len(tree))
	for _, name := range sortedKeys(tree) {
		value := reflect.New(to.Type().Elem()).Elem()
		d.fill(joinKey(key, name), value, tree[name])
		filled.SetMapIndex(reflect.ValueOf(name), value)
	}
	to.Set(filled)
}

// setScalar sets to from value, and reports whether the type and range match.
func setScalar(to reflect.Value, value any) bool {
	switch v := value.(type) {
	case string:
		if to.Kind() == reflect.String {
			to.SetString(v)
			return true
		}
	case bool:
		if to.Kind() == reflect.Bool {
			to.SetBool(v)
			return true
		}
	case int64:
		if to.CanInt() && !to.OverflowInt(v) {
			to.SetInt(v)
			return true
		}
		if to.CanUint() && v >= 0 && !to.OverflowUint(uint64(v)) {
			to.SetUint(uint64(v))
			return true
		}
		if to.CanFloat() {
			to.SetFloat(float64(v))
			return true
		}
	case float64:
		if to.CanFloat() && !math.IsNaN(v) && !math.IsInf(v, 0) {
			to.SetFloat(v)
			return true
		}
	}
	return false
}

// kindName describes the TOML type that a field of type t accepts.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint64:
		return "a whole number of 0 or more"
	case reflect.Float64:
		return "a finite number"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct {
			return "an array of tables"
		}
		return "an array, each element " + kindName(t.Elem())
	default:
		return "a table"
	}
}

// fieldsByKey maps the toml keys of a struct to its fields.
func fieldsByKey(s reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, s.NumField())
	for i := range s.NumField() {
		if key := s.Type().Field(i).Tag.Get("toml"); key != "" && key != "-" {
			fields[key] = s.Field(i)
		}
	}
	return fields
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
