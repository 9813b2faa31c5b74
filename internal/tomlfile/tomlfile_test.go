package tomlfile

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type sample struct {
	Name  string             `toml:"name"`
	Count int                `toml:"count"`
	Part  float64            `toml:"part"`
	Sub   struct{ X int }    `toml:"sub"`
	Rows  []row              `toml:"row"`
	Worth map[string]int     `toml:"worth"`
	Tags  []string           `toml:"tags"`
	Scale map[string]float64 `toml:"scale"`
}

type row struct {
	Name  string         `toml:"name"`
	Worth map[string]int `toml:"worth"`
}

func TestDecodeSetsFields(t *testing.T) {
	s := sample{Count: 7}
	d := Decode("f", []byte(`
name = "a"
part = 2
tags = ["x", "y"]
[worth]
low = 1
[[row]]
name = "one"
[[row]]
name = "two"
worth.high = 9
`), &s)
	assert.Equal(t, len(d.Faults()), 0)
	assert.Equal(t, s.Count, 7, "a default stays")
	assert.Equal(t, s.Part, 2.0)
	assert.DeepEqual(t, s.Tags, []string{"x", "y"})
	assert.Equal(t, s.Rows[1].Worth["high"], 9)
}

// Guards against faults that lead an operator to a wrong line. A fault in the second of
// two tables with one name must not point at the first table, and a fault in an inline
// table must not point at the end of the file.
func TestFaultsPointAtTheirKeys(t *testing.T) {
	cases := map[string]string{
		"count = \"1\"":                                           "f:1:1: count: wrong type; allowed: a whole number",
		"count = 99999999999999999999":                            "f:1:9: ",
		"[[row]]\nname = \"a\"\n[[row]]\nname = 1":                "f:4:1: row[1].name: wrong type",
		"worth = { low = 1, high = true }":                        "f:1:20: worth.high: wrong type",
		"[[row]]\nworth.low = \"x\"":                              "f:2:1: row[0].worth.low: wrong type",
		"[[row]]\n[row.worth]\nlow = 1.5":                         "f:3:1: row[0].worth.low: wrong type",
		"# a comment\n\ntags = [\"x\", 3]":                        "f:3:1: tags[1]: wrong type",
		"name = \"a\"\r\ncuont = 3":                               "f:2:1: cuont: unknown key; allowed: count, name",
		"name = \"a\"\nname = \"b\"":                              "f:2:1: ",
		"row = 3":                                                 "f:1:1: row: wrong type; allowed: an array of tables",
		"part = nan":                                              "f:1:1: part: wrong type; allowed: a finite number",
		"[sub]\nname = \"x\"":                                     "f:2:1: sub.name: unknown key",
		"\"name\" = 3":                                            "f:1:1: name: wrong type",
		"name = \"x\"\n[worth]\n# nothing\n[scale]\na = \"high\"": "f:5:1: scale.a: wrong type",
	}
	for text, want := range cases {
		d := Decode("f", []byte(text), &sample{})
		assert.Assert(t, len(d.Faults()) > 0, "%q", text)
		got := d.Faults().Error()
		assert.Assert(t, strings.HasPrefix(got, want), "%q: got %s", text, got)
	}
}

// Guards against a panic on an invalid document, cut or altered at any byte.
func TestDecodeNeverPanics(t *testing.T) {
	const text = "name = \"a\"\n[[row]]\nworth = { a = 1 }\n[sub]\nx = 1\n"
	for cut := range len(text) {
		for _, b := range []byte{0, '[', ']', '"', '=', '{', '\n', 0xff} {
			broken := []byte(text)
			broken[cut] = b
			_ = Decode("f", broken, &sample{}).Faults().Error()
			_ = Decode("f", broken[:cut], &sample{}).Faults().Error()
		}
	}
}
