package tomlfile

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// place is a position in a document, counted from 1.
type position struct{ line, column int }

// places maps each full key of a document to where it stands.
type positions struct {
	document []byte
	byKey    map[string]position
	// arrays counts the elements seen of each array of tables.
	elementCounts map[string]int
}

// findPlaces reads the keys' positions from a document of valid syntax.
func findPositions(document []byte) *positions {
	p := &positions{document: document, byKey: map[string]position{}, elementCounts: map[string]int{}}
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

func (p *positions) recordElement(node *unstable.Node) string {
	parts, offset := keyParts(node)
	last := len(parts) - 1
	array := joinKey(p.resolve("", parts[:last]), parts[last])
	p.elementCounts[array]++
	key := elementKey(array, p.elementCounts[array]-1)
	p.byKey[key] = p.positionAt(offset)
	if _, seen := p.byKey[array]; !seen {
		p.byKey[array] = p.positionAt(offset)
	}
	return key
}

func (p *positions) recordKeyValue(table string, node *unstable.Node) {
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
func (p *positions) record(table string, node *unstable.Node) string {
	parts, offset := keyParts(node)
	key := table
	for i := range parts {
		key = p.resolve(table, parts[:i+1])
		if _, seen := p.byKey[key]; !seen {
			p.byKey[key] = p.positionAt(offset)
		}
	}
	return key
}

// resolve joins parts to table and names the last element of each array of
// tables on the way, as TOML reads [a.b] after [[a]].
func (p *positions) resolve(table string, parts []string) string {
	key := table
	for _, part := range parts {
		key = joinKey(key, part)
		if n := p.elementCounts[key]; n > 0 {
			key = elementKey(key, n-1)
		}
	}
	return key
}

// of returns where key stands, or its nearest table when it is absent.
func (p *positions) lookup(key string) position {
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
	return position{line: 1, column: 1}
}

func (p *positions) positionAt(offset int) position {
	before := p.document[:offset]
	return position{
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

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

func elementKey(array string, i int) string {
	return array + "[" + strconv.Itoa(i) + "]"
}
