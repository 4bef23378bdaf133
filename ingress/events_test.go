package ingress

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// Guards against a stream that is kept back, or whose ids are not seen, because its
// lines end with CR or CRLF.
func TestEventsEndWithAnyBlankLine(t *testing.T) {
	is := is.New(t)
	for _, end := range []string{"\n", "\r", "\r\n"} {
		first := "id: 1" + end + "data: a" + end + end
		got, err := scanEvents([]byte(first+"id: 2"+end+"data: b"+end), "")
		is.NoErr(err)
		is.Equal(got, foundEvents{end: len(first), any: true, numbered: true, lastID: "1"})
		_, err = scanEvents([]byte(first), "1")
		is.True(err != nil) // the id does not increase
	}
	for _, mixed := range []string{"data: a\r\n\n", "data: a\n\r\n", "data: a\r\r\n", "data: a\n\r"} {
		got, err := scanEvents([]byte(mixed), "")
		is.NoErr(err)
		is.Equal(got, foundEvents{end: len(mixed), any: true})
	}
}

// FuzzScanEvents guards against events that depend on how their bytes arrive, that
// lose bytes, or that end elsewhere than at a blank line.
func FuzzScanEvents(f *testing.F) {
	for _, s := range []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\n", "a\r\r", ": c\n\n\n", "id: 1\n\r\nid: 2\r\r\nda"} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		cut = min(max(cut, 0), len(stream))
		inOne, errInOne := scanEvents(stream, "")
		first, err := scanEvents(stream[:cut], "")
		inTwo := first
		if err == nil {
			inTwo, err = scanEvents(stream[first.end:], first.lastID)
			inTwo.end += first.end
			if !inTwo.any {
				inTwo.any, inTwo.numbered = first.any, first.numbered
			}
		}
		if (errInOne == nil) != (err == nil) {
			t.Fatalf("error %v in one part, %v in two", errInOne, err)
		}
		if err != nil {
			return
		}
		if inOne != inTwo {
			t.Fatalf("%+v in one part, %+v in two", inOne, inTwo)
		}
		whole := inOne.end
		normalize := func(b []byte) []byte {
			return bytes.ReplaceAll(bytes.ReplaceAll(b, []byte("\r\n"), []byte("\n")), []byte("\r"), []byte("\n"))
		}
		if events := normalize(stream[:whole]); whole > 0 && !bytes.HasSuffix(events, []byte("\n\n")) && !bytes.Equal(events, []byte("\n")) {
			t.Fatalf("events end without a blank line: %q", events)
		}
		if rest := normalize(stream[whole:]); bytes.HasPrefix(rest, []byte("\n")) || bytes.Contains(rest, []byte("\n\n")) {
			t.Fatalf("an event is kept back: %q", rest)
		}
	})
}
