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

// Guards against findings that point at another line than the one to change.
func TestPlaces(t *testing.T) {
	is := is.New(t)
	f := Parse("f.json", []byte(text))
	is.Equal(f.Problem("a.b", "x").Line, 3)
	is.Equal(f.Problem("a.b.1", "x").Line, 4)
	is.Equal(f.Problem("c", "x").Line, 6)
	is.Equal(f.Problem("a.missing", "x").Line, 2) // the object that lacks it
	is.Equal(f.Problem("missing", "x").Line, 1)
}

// Guards against errors of the decoder that lose their place.
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
