package answerhead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against the beginning of an answer that is taken for one with the whole answer after
// it, wherever the first one ends, and against sound answers that are taken for two.
func TestSecondStatusLineIsFound(t *testing.T) {
	const first = "HTTP/1.1 421 Misdirected Request\r\nX-First: a value\r\nContent-Length: 0\r\n"
	const second = "HTTP/1.1 200 OK\r\nX-Second: a\r\nContent-Length: 2\r\n\r\nok"
	for n := range len(first) + 1 {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(first[:n]+second)), nil)
		if err != nil {
			continue
		}
		if merged := Check(response) != nil; merged != (n > 0) {
			t.Errorf("first %d bytes %q: second status line %t", n, first[:n], merged)
		}
	}
	is := is.New(t)
	sound := http.Header{"Via": {"HTTP/1.1 proxy", "1.1 HTTP/2"}, "Upgrade": {"HTTP/2.0"}, "X": {"HTTP/", "HTTP/1.1 20"}}
	is.NoErr(Check(&http.Response{Status: "200 OK", Header: sound}))
}

// Guards against an answer with an invalid name of a field where its lines can't be checked.
func TestInvalidNameIsFound(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"", "X A", "Content-Length ", "X\x7f", "X\xe9"} {
		is.Equal(Check(&http.Response{Status: "200 OK", Header: http.Header{name: {"1"}}}), ErrMalformedLine)
	}
}
