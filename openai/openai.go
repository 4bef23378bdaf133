// Package openai holds the callers' HTTP messages: the chat and completion
// calls of the OpenAI interface, their answers, stream events, model lists and
// the error format. It encodes and decodes; it serves no HTTP.
package openai

import (
	"github.com/cespare/xxhash/v2"
)

// Kind tells the two calls apart that ask for an answer.
type Kind uint8

// The kinds of call.
const (
	Chat       Kind = iota // POST /v1/chat/completions
	Completion             // POST /v1/completions
)

// Request is a decoded call for an answer.
type Request struct {
	Kind         Kind
	Model        string // row that the caller addresses
	Prompt       string // canonical form of the messages or the prompt
	MaxTokens    int    // 0 if the caller set no limit
	Stream       bool
	IncludeUsage bool // a stream ends with an event that holds the usage
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// prefixBytes is the length of the canonical prompt that PrefixHash covers.
// Prompts of one row commonly share a system message of about this length.
const prefixBytes = 1024

// Fingerprint identifies the content of a request: equal content addressed to
// the same row has an equal fingerprint.
func Fingerprint(row, canonical string) uint64 {
	return hashPair(row, canonical)
}

// PrefixHash identifies a model and the beginning of a canonical prompt, as
// in an engine's cache events.
func PrefixHash(model, canonical string) uint64 {
	return hashPair(model, canonical[:min(len(canonical), prefixBytes)])
}

func hashPair(name, content string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0}) // names hold no NUL, so the pair is unambiguous
	_, _ = d.WriteString(content)
	return d.Sum64()
}
