package intake

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronstep/citronstep/internal/bounded"
)

// Guards against a header whose end is found elsewhere than net/http finds it, so that a part of it is not counted.
func TestHeaderEndsWhereNetHTTPEndsIt(t *testing.T) {
	t.Parallel()
	line := rapid.SampledFrom([]string{"a:", "a: b", "a:\r", "a: b\r\r", "Host: h\r", "x-y: 1,2,3", "a:b\n c", "a:\r\n\t\r"})
	rapid.Check(t, func(t *rapid.T) {
		ends := rapid.SampledFrom([]string{"\n", "\r\n"})
		text := rapid.SampledFrom([]string{"", "\n", "\r\n"}).Draw(t, "before") + "POST / HTTP/1.1" + ends.Draw(t, "end of request line")
		for _, l := range rapid.SliceOfN(line, 0, 8).Draw(t, "lines") {
			text += l + ends.Draw(t, "end")
		}
		text += ends.Draw(t, "last end")
		const behind = "12345\n\r\n"
		reader := bufio.NewReader(strings.NewReader(strings.TrimLeft(text, "\r\n") + behind))
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err)
		var scan headerScan
		length, data := 0, []byte(text+behind)
		for {
			piece := data[length:min(len(data), length+rapid.IntRange(1, 40).Draw(t, "piece"))]
			n, ended := scan.split(piece)
			length += n
			if ended || len(piece) == 0 {
				break
			}
		}
		assert.Equal(t, string(data[length:]), string(rest))
	})
}

// Guards against bytes behind a header that count for more than net/http can have buffered.
func TestCostBehindAHeaderIsBounded(t *testing.T) {
	t.Parallel()
	lines := []byte(strings.Repeat("a:\n", readAhead))
	assert.Equal(t, addBehind(0, nil), int64(0))
	assert.Equal(t, addBehind(maxBehindCost, []byte("x\n")), int64(maxBehindCost))
	assert.Assert(t, addBehind(0, lines) <= maxBehindCost)
	assert.Equal(t, addBehind(maxBehindCost, make([]byte, readAhead)), bounded.HeaderCost(make([]byte, readAhead)))
}
