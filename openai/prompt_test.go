package openai

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a prompt for checks that differs from the one that a caller's
// message becomes, such as by escaping.
func TestUserPromptIsThePromptOfOneMessage(t *testing.T) {
	is := is.New(t)
	const body = `{"model":"m","messages":[{"role":"user","content":"a <b> & \"c\" é"}]}`
	r, err := DecodeChat([]byte(body))
	is.NoErr(err)
	prompt, err := UserPrompt(`a <b> & "c" é`)
	is.NoErr(err)
	is.Equal(prompt, r.Prompt)
}
