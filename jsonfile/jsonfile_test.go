package jsonfile

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

const text = `{
  "a": {
    "b": [1,
          2]
  },
  "c": "text"
}`

// Guards against findings that report the wrong line.
func TestProblemPositions(t *testing.T) {
	is := is.New(t)
	f := Parse("f.json", []byte(text))
	is.Equal(f.Problem("a.b", "x").Line, 3)
	is.Equal(f.Problem("a.b.1", "x").Line, 4)
	is.Equal(f.Problem("c", "x").Line, 6)
	is.Equal(f.Problem("a.missing", "x").Line, 2) // line of the enclosing object
	is.Equal(f.Problem("missing", "x").Line, 1)
}

// Guards against decoding errors that are reported without line or key.
func TestDecodeProblems(t *testing.T) {
	is := is.New(t)
	var out struct {
		C int `json:"c"`
	}
	err := json.Unmarshal([]byte(text), &out)
	p := Parse("f.json", []byte(text)).DecodeProblem(err)
	is.Equal(p.Line, 6)
	is.Equal(p.Key, "c")
	broken := "{\n\"a\": }"
	p = Parse("f.json", []byte(broken)).DecodeProblem(json.Unmarshal([]byte(broken), &out))
	is.Equal(p.Line, 2)
}
