package tomlfile

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/finding"
)

type sample struct {
	Name  string   `toml:"name"`
	Count int      `toml:"count"`
	Wait  Duration `toml:"wait"`
	List  []string `toml:"list"`
}

// Guards against a decoder that stops at the first problem or reports a wrong position.
func TestDecodeReportsEveryProblemWithPosition(t *testing.T) {
	is := is.New(t)
	const text = `# comment
[a]
name = 5
count = "many"

[[b]]
  wait = "soon" # trailing
colour = "red"
list = [
  "x",
  "y",
]
name = "ok"
`
	var problems finding.List
	sections := Parse("f.toml", []byte(text), &problems)
	is.Equal(len(sections), 3)
	var a, b sample
	sections[1].Decode(&a, &problems)
	sections[2].Decode(&b, &problems)
	found := problems.All()
	is.Equal(len(found), 4)
	is.Equal([2]int{found[0].Line, found[0].Column}, [2]int{3, 1})
	is.Equal(found[1].Key, "a.count")
	is.Equal([2]int{found[2].Line, found[2].Column}, [2]int{7, 3})
	is.Equal(found[3].Line, 8)
	is.Equal(b.List, []string{"x", "y"})
	is.Equal(b.Name, "ok")
}

// Guards against a wrong position or key for an unknown key in an inline table, and
// against elements of an array of tables that are not marked as such.
func TestUnknownKeyOfInlineTable(t *testing.T) {
	is := is.New(t)
	var problems finding.List
	sections := Parse("f.toml", []byte("[a]\n[[b]]\n  size = { width = 3, hight = 4 }\n"), &problems)
	is.True(!sections[1].Array && sections[2].Array)
	var target struct {
		Name string `toml:"name"`
		Size struct {
			Width  int `toml:"width"`
			Height int `toml:"height"`
		} `toml:"size"`
	}
	is.True(sections[2].Decode(&target, &problems))
	is.Equal(target.Size.Width, 3)
	is.Equal(problems.All(), []finding.Finding{
		{File: "f.toml", Line: 3, Column: 23, Key: "b.size.hight", Message: "unknown key"},
	})
}

// Guards against syntax errors that are reported without a line.
func TestSyntaxErrorHasPosition(t *testing.T) {
	is := is.New(t)
	var problems finding.List
	Parse("f.toml", []byte("[a]\nx = \n"), &problems)
	is.Equal(len(problems.All()), 1)
	is.Equal(problems.All()[0].Line, 2)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[a]\nx = 1\n[[b]]\ny = \"z\"\n"))
	f.Add([]byte("a.b = [1,\n2]\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var problems finding.List
		for _, s := range Parse("f", data, &problems) {
			var v sample
			s.Decode(&v, &problems)
		}
	})
}
