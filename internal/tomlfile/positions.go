package tomlfile

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a line and column in a document, both counted from 1.
type position struct{ line, column int }

// positions maps each full key of a document to its position.
type positions struct {
	document []byte
	byKey    map[string]position
	// elementCounts counts the elements read so far of each array of tables.
	elementCounts map[string]int
}

// findPositions returns the positions of all keys of a document with valid syntax.
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

// recordElement records the header of an element of an array of tables, and returns
// the element's full key.
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

// recordKeyValue records a key under table, and the keys of its inline table, if any.
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

// record records the node's key, and each table in its dotted path, under table. It
// returns the full key.
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

// resolve returns the full key of parts under table. For each array of tables in the
// path it takes the last element, as TOML interprets [a.b] after [[a]].
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

// lookup returns the position of key, or of its nearest enclosing table if the key is
// absent. Without either, it returns the beginning of the document.
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

// positionAt converts a byte offset to a position.
func (p *positions) positionAt(offset int) position {
	before := p.document[:offset]
	return position{
		line:   bytes.Count(before, []byte{'\n'}) + 1,
		column: offset - bytes.LastIndexByte(before, '\n'),
	}
}

// keyParts returns the parts of the node's dotted key and the key's byte offset.
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
