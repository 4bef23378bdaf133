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

// answerSeed returns a hash of the arguments that determines the answer to prompt.
func answerSeed(model, adapter, version, prompt string) uint64 {
	d := xxhash.New()
	for _, s := range []string{model, adapter, version, prompt} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// chunkText returns the text of the chunk at index of the answer with this seed.
func chunkText(seed uint64, index int) string {
	if index == 0 {
		return fmt.Sprintf("%08x", uint32(seed))
	}
	return " " + words[(seed>>(uint(index)%60)+uint64(index)*0x9e3779b97f4a7c15>>32)%uint64(len(words))]
}

// Answer returns the complete text that any stand-in engine generates for a
// request. It has one chunk per token, and the first chunk is a short hash of the
// arguments. If adapter is empty, version is the model's version, otherwise the
// adapter's.
func Answer(model, adapter, version, prompt string, tokens int) string {
	seed := answerSeed(model, adapter, version, prompt)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(chunkText(seed, i))
	}
	return b.String()
}

// PromptHash returns the hash that identifies a prompt in Counts.ByPrompt.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// promptTokens returns the estimated number of tokens in prompt, at 4 bytes per
// token.
func promptTokens(prompt string) int { return len(prompt)/4 + 1 }
