package answerhead

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"

	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
)

// checkInTwo checks an answer that arrives in two parts, and returns the number of its bytes
// before the first malformed line is found.
func checkInTwo(first, second []byte) (int, error) {
	var c LineChecker
	n, err := c.Check(first)
	if err != nil {
		return n, err
	}
	n, err = c.Check(second)
	return len(first) + n, err
}

// Guards against a malformed line that is not found because it arrives in two parts.
func TestMalformedLinesAreFound(t *testing.T) {
	is := is.New(t)
	for _, malformed := range rawservertest.MalformedLines("200 OK", "id: 1\ndata: a\n\n") {
		answer := []byte(malformed.Render("X-Id: 7\r\n"))
		want, err := checkInTwo(answer, nil)
		if !errors.Is(err, ErrMalformedLine) {
			t.Errorf("%s is accepted", malformed.Name)
		}
		for i := range answer {
			n, err := checkInTwo(answer[:i], answer[i:])
			is.Equal(n, want)
			is.Equal(err, ErrMalformedLine)
		}
	}
}

// Guards against a sound answer that is rejected: with any value, after interim answers, with a
// trailer, or with a body that looks like malformed lines.
func TestSoundLinesAreAccepted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9z: \t a \x80: b \t\r\nX-Empty:\r\nX-Long: "
	const body = " a: b\nc d: e\r\n\r\n"
	for name, answer := range map[string]string{
		"length":            head + "\r\nContent-Length: 2\r\n\r\n" + body,
		"long value":        head + strings.Repeat("a", 2*maxKeptBytes) + "\r\n\r\n" + body,
		"end of connection": head + "\r\n\r\n" + body,
		"interim answers":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + head + "\r\n\r\n" + body,
		"chunks":            head + "\r\nTransfer-Encoding:\tChunked \r\n\r\n10 ;x=y\r\n" + body + "\r\n0\r\n\r\n" + body,
		"trailer":           head + "\r\ntransfer-encoding: chunked\r\n\r\n010\r\n" + body + "\r\n0\r\nX-T: 1\r\nX-U:\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(body), 0x10)
			for i := range len(answer) {
				n, err := checkInTwo([]byte(answer[:i]), []byte(answer[i:]))
				is.NoErr(err)
				is.Equal(n, len(answer))
			}
		})
	}
}

// Guards against a malformed line after interim answers, which have heads of their own.
func TestMalformedLineAfterInterimAnswerIsFound(t *testing.T) {
	is := is.New(t)
	for interim, want := range map[string]error{"HTTP/1.1 100 Continue": ErrMalformedLine, "HTTP/1.1 101 Switching Protocols": nil} {
		_, err := checkInTwo([]byte(interim+"\r\n\r\nHTTP/1.1 200 OK\r\nX A: b\r\n\r\n"), nil)
		is.Equal(err, want)
	}
}

// FuzzLineChecker guards against a head that is accepted although net/http reads a field from it
// whose name is not valid, and against a result that depends on how the bytes arrive.
func FuzzLineChecker(f *testing.F) {
	for _, malformed := range rawservertest.MalformedLines("200 OK", "ok") {
		f.Add([]byte(malformed.Render("")), uint16(20))
	}
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n"), uint16(30))
	f.Fuzz(func(t *testing.T, answer []byte, split uint16) {
		at := int(split) % (len(answer) + 1)
		n, err := checkInTwo(answer, nil)
		splitN, splitErr := checkInTwo(answer[:at], answer[at:])
		if n != splitN || err != splitErr {
			t.Fatalf("%d, %v; in two parts %d, %v", n, err, splitN, splitErr)
		}
		resp, readErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(answer[:n])), nil)
		if readErr != nil {
			return
		}
		for name := range resp.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Fatalf("field %q is accepted", name)
			}
		}
	})
}
