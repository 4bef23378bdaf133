// Package openai decodes and encodes callers' messages in the format of the OpenAI
// API: chat and completion requests, their answers and stream events, model lists
// and errors. It also computes the fingerprints of requests. It holds no state and
// leaves HTTP to package gateway.
package openai

import (
	"github.com/cespare/xxhash/v2"
)

// Kind is the API call that a request belongs to.
type Kind uint8

// The kinds of requests.
const (
	Chat       Kind = iota // POST /v1/chat/completions
	Completion             // POST /v1/completions
)

// Request is a decoded chat or completion request.
type Request struct {
	Kind         Kind
	Model        string // name of the table row that serves the request
	Prompt       string // canonical form of the messages, or the prompt itself
	MaxTokens    int    // 0 if the caller set no limit
	Stream       bool
	IncludeUsage bool // whether a stream ends with an event that reports the usage
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// prefixHashBytes is how much of a canonical prompt RoutingPrefixHash covers.
// Prompts to one row typically share a system message of about this length.
const prefixHashBytes = 1024

// Fingerprint returns a hash of a request's row and canonical content. Requests to
// the same row with equal content have equal fingerprints.
func Fingerprint(row, canonical string) uint64 {
	return hashPair(row, canonical)
}

// RoutingPrefixHash returns a hash of a model and the first prefixHashBytes of a
// canonical prompt. The router uses it to find endpoints that have the prefix
// cached. It differs from engine.PrefixHash, which identifies prompts in engines' cache events.
func RoutingPrefixHash(model, canonical string) uint64 {
	return hashPair(model, canonical[:min(len(canonical), prefixHashBytes)])
}

// hashPair returns a hash that depends on where name ends and content begins.
func hashPair(name, content string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0}) // names contain no NUL, so the concatenation is unambiguous
	_, _ = d.WriteString(content)
	return d.Sum64()
}
