package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an explanation that lacks an attempt of the request, or that lacks
// a log line about the same replica from another request.
func TestExplain(t *testing.T) {
	is := is.New(t)
	lines := []string{
		`time=2026-01-01T00:00:02Z level=info msg="request ended" request=abc status=502 cause=broken sends="replica=i-1 outcome=silent; replica=i-2 outcome=broken"`,
		`time=2026-01-01T00:00:01Z level=warn msg="replica put aside" replica=i-2 request=other outcome=unreachable`,
		`time=2026-01-01T00:00:01Z level=warn msg="replica put aside" replica=i-9 request=other outcome=unreachable`,
		`time=2026-01-01T00:00:03Z level=info msg="request ended" request=abcd status=200`,
	}
	var out bytes.Buffer
	is.NoErr(explain(&out, "abc", lines))
	text := out.String()
	is.True(strings.Index(text, "put aside") < strings.Index(text, "request ended"))
	is.True(strings.Contains(text, "sent to replica=i-1 outcome=silent\n    then replica=i-2 outcome=broken"))
	is.True(!strings.Contains(text, "i-9") && !strings.Contains(text, "abcd"))
	is.True(explain(&out, "unknown", lines) != nil)
}
