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
		got, last, err := scanEvents([]byte(first+"id: 2"+end+"data: b"+end), "")
		is.NoErr(err)
		is.Equal(got, len(first))
		is.Equal(last, "1")
		_, _, err = scanEvents([]byte(first), "1")
		is.True(err != nil) // the id does not increase
	}
	for _, mixed := range []string{"data: a\r\n\n", "data: a\n\r\n", "data: a\r\r\n", "data: a\n\r"} {
		got, _, err := scanEvents([]byte(mixed), "")
		is.NoErr(err)
		is.Equal(got, len(mixed))
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
		whole, wholeLast, wholeErr := scanEvents(stream, "")
		first, last, err := scanEvents(stream[:cut], "")
		end := 0
		if err == nil {
			end, last, err = scanEvents(stream[first:], last)
		}
		if (wholeErr == nil) != (err == nil) {
			t.Fatalf("error %v in one part, %v in two", wholeErr, err)
		}
		if err != nil {
			return
		}
		if whole != first+end || wholeLast != last {
			t.Fatalf("events end at %d with id %q in one part, at %d with %q in two", whole, wholeLast, first+end, last)
		}
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
