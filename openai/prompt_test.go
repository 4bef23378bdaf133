package openai

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a prompt from UserPrompt that differs, for example in escaping, from
// the decoded prompt of a caller's message with the same text.
func TestUserPromptEqualsDecodedMessage(t *testing.T) {
	is := is.New(t)
	const body = `{"model":"m","messages":[{"role":"user","content":"a <b> & \"c\" é"}]}`
	r, err := DecodeChat([]byte(body))
	is.NoErr(err)
	prompt, err := UserPrompt(`a <b> & "c" é`)
	is.NoErr(err)
	is.Equal(prompt, r.Prompt)
}
