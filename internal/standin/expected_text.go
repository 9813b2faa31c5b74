package standin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the length of an answer whose request sets no max_tokens.
const DefaultMaxTokens = 16

// syllables form the words of the generated text. Three syllables per word give 4096 words, so
// that the texts of two prompts soon differ.
var syllables = [16]string{
	"ba", "de", "fi", "go", "hu", "ka", "le", "mi",
	"no", "pu", "ra", "se", "ti", "vo", "wu", "za",
}

// TokenText returns the text of the token at offset in the answer to prompt.
func TokenText(prompt string, offset int) string {
	var position [8]byte
	binary.LittleEndian.PutUint64(position[:], uint64(offset))
	digest := xxhash.New()
	_, _ = digest.WriteString(prompt)
	_, _ = digest.Write(position[:])
	sum := digest.Sum64()
	word := syllables[sum&15] + syllables[sum>>4&15] + syllables[sum>>8&15]
	if offset == 0 {
		return word
	}
	return " " + word
}

// ExpectedText returns the complete answer to prompt.
func ExpectedText(prompt string, maxTokens int) string {
	var text strings.Builder
	for offset := range answerLength(maxTokens) {
		text.WriteString(TokenText(prompt, offset))
	}
	return text.String()
}

func answerLength(maxTokens int) int {
	if maxTokens <= 0 {
		return DefaultMaxTokens
	}
	return maxTokens
}
