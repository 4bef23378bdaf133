package settings

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/finding"
)

const validText = `[instance]
id = "kul-a-1"
data_centre = "kul-a"

[callers]
listen = "127.0.0.1:8080"

[operators]
listen = "127.0.0.1:8081"
token = "0123456789abcdef"

[peers]
listen = "127.0.0.1:8082"
secret = "0123456789abcdef"

[platform]
address = "127.0.0.1:9000"
`

// Guards against a check that rejects a valid file, and against an advertised address
// that does not default to the listen address.
func TestValidSettings(t *testing.T) {
	is := is.New(t)
	s, err := Parse("s.toml", []byte(validText))
	is.NoErr(err)
	is.Equal(s.Peers.Advertise, "127.0.0.1:8082")
}

// Guards against a check that reports only some of five different problems: an unknown
// key, a wrong type, an invalid combination, overlapping addresses and a missing key.
func TestFiveProblemsGiveFiveFindings(t *testing.T) {
	is := is.New(t)
	const text = `[instance]
id = "kul-a-1"
datacentre = "kul-a"

[callers]
listen = "0.0.0.0:8080"
max_body_bytes = "many"

[operators]
listen = "127.0.0.1:8080"
token = "0123456789abcdef"
token_file = "token"

[peers]
listen = "127.0.0.1:8082"
secret = "0123456789abcdef"

[platform]
address = "127.0.0.1:9000"
`
	_, err := Parse("s.toml", []byte(text))
	var got [][2]any
	for _, f := range finding.FromError(err) {
		got = append(got, [2]any{f.Line, f.Key})
	}
	is.Equal(got, [][2]any{
		{1, "instance.data_centre"},
		{3, "instance.datacentre"},
		{7, "callers.max_body_bytes"},
		{10, "operators.listen"},
		{11, "operators.token"},
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validText))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse("f", data) })
}
