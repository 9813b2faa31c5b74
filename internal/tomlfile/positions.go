package tomlfile

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// place is a position in a document, counted from 1.
type place struct{ line, column int }

// places maps each full key of a document to where it stands.
type places struct {
	document []byte
	byKey    map[string]place
	// arrays counts the elements seen of each array of tables.
	arrays map[string]int
}

// findPlaces reads the keys' positions from a document of valid syntax.
func findPlaces(document []byte) *places {
	p := &places{document: document, byKey: map[string]place{}, arrays: map[string]int{}}
	parser := unstable.Parser{}
	parser.Reset(document)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = p.record("", node)
		case unstable.ArrayTable:
			table = p.recordElement(node)
		case unstable.KeyValue:
			p.recordKeyValue(table, node)
		}
	}
	return p
}

func (p *places) recordElement(node *unstable.Node) string {
	parts, offset := keyParts(node)
	last := len(parts) - 1
	array := join(p.resolve("", parts[:last]), parts[last])
	p.arrays[array]++
	key := element(array, p.arrays[array]-1)
	p.byKey[key] = p.at(offset)
	if _, seen := p.byKey[array]; !seen {
		p.byKey[array] = p.at(offset)
	}
	return key
}

func (p *places) recordKeyValue(table string, node *unstable.Node) {
	key := p.record(table, node)
	value := node.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	children := value.Children()
	for children.Next() {
		p.recordKeyValue(key, children.Node())
	}
}

// record notes the node's key, and each table on the way to it, under table.
func (p *places) record(table string, node *unstable.Node) string {
	parts, offset := keyParts(node)
	key := table
	for i := range parts {
		key = p.resolve(table, parts[:i+1])
		if _, seen := p.byKey[key]; !seen {
			p.byKey[key] = p.at(offset)
		}
	}
	return key
}

// resolve joins parts to table and names the last element of each array of
// tables on the way, as TOML reads [a.b] after [[a]].
func (p *places) resolve(table string, parts []string) string {
	key := table
	for _, part := range parts {
		key = join(key, part)
		if n := p.arrays[key]; n > 0 {
			key = element(key, n-1)
		}
	}
	return key
}

// of returns where key stands, or its nearest table when it is absent.
func (p *places) of(key string) place {
	for key != "" {
		if at, ok := p.byKey[key]; ok {
			return at
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return place{line: 1, column: 1}
}

func (p *places) at(offset int) place {
	before := p.document[:offset]
	return place{
		line:   bytes.Count(before, []byte{'\n'}) + 1,
		column: offset - bytes.LastIndexByte(before, '\n'),
	}
}

// keyParts returns the parts of the node's dotted key and its offset.
func keyParts(node *unstable.Node) (parts []string, offset int) {
	keys := node.Key()
	for keys.Next() {
		if len(parts) == 0 {
			offset = int(keys.Node().Raw.Offset)
		}
		parts = append(parts, string(keys.Node().Data))
	}
	return parts, offset
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

func element(array string, i int) string {
	return array + "[" + strconv.Itoa(i) + "]"
}
