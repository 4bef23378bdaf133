package engine

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the length of the prompt prefix that PrefixHash covers. Prompts
// of one adapter share their instructions, which are at the start.
const PrefixBytes = 256

// PrefixHash returns the hash by which cache events name the prompt prefix of
// a request.
func PrefixHash(model, adapter, prompt string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(adapter)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt[:min(len(prompt), PrefixBytes)])
	return d.Sum64()
}
