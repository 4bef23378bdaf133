package engine

import "github.com/cespare/xxhash/v2"

// PrefixBytes limits the part of the prompt that PrefixHash covers. Prompts for
// one adapter begin with the same instructions.
const PrefixBytes = 256

// PrefixHash returns the hash that identifies the prompt prefix of a request in
// cache events. It covers the model, the adapter and the first PrefixBytes
// bytes of the prompt.
func PrefixHash(model, adapter, prompt string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(adapter)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt[:min(len(prompt), PrefixBytes)])
	return d.Sum64()
}
