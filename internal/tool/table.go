package tool

import (
	"io"
	"strings"
	"text/tabwriter"
)

// table is a plain text table with a heading line.
type table struct {
	heading []string
	rows    [][]string
}

func newTable(heading ...string) *table { return &table{heading: heading} }

// add appends a row. An empty cell is shown as "-", so that each row has the same number of
// fields for awk.
func (t *table) add(cells ...string) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = cell
		if cell == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) {
	const minWidth, tabWidth, padding = 0, 8, 2
	out := tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)
	for _, row := range append([][]string{t.heading}, t.rows...) {
		_, _ = io.WriteString(out, strings.Join(row, "\t")+"\n")
	}
	_ = out.Flush()
}
