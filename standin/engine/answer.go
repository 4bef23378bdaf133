package standinengine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var words = [...]string{
	"barley", "berry", "field", "gate", "harvest", "honey", "ladder", "meadow",
	"orchard", "path", "rain", "ride", "saddle", "shade", "valley", "wind",
}

// answerSeed identifies the answer to a prompt.
func answerSeed(model, adapter, version, prompt string) uint64 {
	d := xxhash.New()
	for _, s := range []string{model, adapter, version, prompt} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// chunkText returns the text of one chunk of an answer.
func chunkText(seed uint64, index int) string {
	if index == 0 {
		return fmt.Sprintf("%08x", uint32(seed))
	}
	return " " + words[(seed>>(uint(index)%60)+uint64(index)*0x9e3779b97f4a7c15>>32)%uint64(len(words))]
}

// Answer returns the whole text that every stand-in engine generates for a
// request: tokens chunks, the first of which is a short hash of the arguments.
// Version is the version of the adapter, or of the model without one.
func Answer(model, adapter, version, prompt string, tokens int) string {
	seed := answerSeed(model, adapter, version, prompt)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(chunkText(seed, i))
	}
	return b.String()
}

// PromptHash names a prompt in Counts.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// promptTokens estimates the tokens of a prompt.
func promptTokens(prompt string) int { return len(prompt)/4 + 1 }
