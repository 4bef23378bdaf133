package rawservertest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// MalformedAnswer is an answer that no HTTP server may send.
type MalformedAnswer struct {
	Name       string
	statusLine string
	body       string
	repeated   int    // number of times that the status line and an empty head come first
	cutHead    bool   // the answer ends within its head
	cutBody    bool   // the answer ends within its body
	rest       string // what follows the given headers, if not empty
}

// maxRepeatedInterim is the number of interim answers of a MalformedAnswer. It is above
// the limit of every client.
const maxRepeatedInterim = 1000

// MalformedAnswers returns answers with a status that HTTP does not have, with interim answers
// without end, with a switch of the protocol that nobody asked for, with the beginning of
// another answer before the status line, and with a sound status but without their whole head
// or body. body is a sound body.
func MalformedAnswers(body string) []MalformedAnswer {
	var out []MalformedAnswer
	for _, status := range []string{"000", "042", "099", "+42", "-42", "-20", " 42", "20", "2", "2000", "0200", "20x", "2 0", "", "600", "999", "101"} {
		out = append(out, MalformedAnswer{Name: "status " + status, statusLine: "HTTP/1.1 " + status + " Reason\r\n", body: body})
	}
	return append(out,
		MalformedAnswer{Name: "interim answers without end", statusLine: "HTTP/1.1 103 Early Hints\r\n", repeated: maxRepeatedInterim, body: body},
		MalformedAnswer{Name: "second status line", statusLine: "HTTP/1.1 200 HTTP/1.1 500 Internal Server Error\r\n", body: body},
		MalformedAnswer{Name: "head cut", statusLine: "HTTP/1.1 200 OK\r\n", cutHead: true},
		MalformedAnswer{Name: "body cut", statusLine: "HTTP/1.1 200 OK\r\n", body: body, cutBody: true},
	)
}

// MalformedValue is the value of each field that MalformedLines adds to an answer.
const MalformedValue = "malformed-value"

// MalformedLines returns answers whose head or trailer has a line that is no field: with a byte
// in its name that no name can have, without a name, folded into the line before it, or without
// a proper end. They are sound otherwise. status is a status with its reason.
func MalformedLines(status, body string) []MalformedAnswer {
	const field = ": " + MalformedValue + "\r\n"
	lines := []string{
		field, "X-A\r\n", "X A" + field, "X-A " + field, "X-A\t" + field, "X(A" + field,
		"X-A: a\r\n " + MalformedValue + "\r\n", " X-A" + field, "X-A: " + MalformedValue + "\n",
	}
	for _, b := range invalidNameBytes() {
		lines = append(lines, b+"X-A"+field, "X"+b+"A"+field, "X-A"+b+field)
	}
	var out []MalformedAnswer
	add := func(name, rest string) {
		out = append(out, MalformedAnswer{Name: name, statusLine: "HTTP/1.1 " + status + "\r\n", rest: rest})
	}
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	add("length with a blank", strings.Replace(length, ":", " :", 1)+body)
	add("folded length", "X-A: a\r\n "+length+body)
	add("chunks with a blank", "Transfer-Encoding : chunked\r\n\r\n"+chunks+"\r\n")
	for _, line := range lines {
		add(fmt.Sprintf("head %q", line), line+length+body)
		add(fmt.Sprintf("trailer %q", line), "Transfer-Encoding: chunked\r\n\r\n"+chunks+line+"\r\n")
	}
	return out
}

// CutAnswers returns answers without a length that end in order before the end of body.
func CutAnswers(status, body string) []MalformedAnswer {
	var out []MalformedAnswer
	for n := range body {
		out = append(out, MalformedAnswer{Name: fmt.Sprintf("body ends after %d bytes", n), statusLine: "HTTP/1.1 " + status + "\r\n", rest: "\r\n" + body[:n]})
	}
	return out
}

// invalidNameBytes returns the control bytes, and some bytes that are not ASCII.
func invalidNameBytes() []string {
	out := []string{"\x7f", "\x80", "\xc3", "\xff", "é"}
	for b := range byte(0x20) {
		out = append(out, string(b))
	}
	return out
}

// Render returns the bytes of the answer. headers are further lines of the head.
func (a MalformedAnswer) Render(headers string) string {
	if a.rest != "" {
		return a.statusLine + headers + a.rest
	}
	interim := strings.Repeat(a.statusLine+"\r\n", a.repeated)
	if a.cutHead {
		return a.statusLine + headers + "Content-Len"
	}
	length := len(a.body)
	if a.cutBody {
		length++
	}
	return interim + a.statusLine + headers + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, a.body)
}

// Start starts a server that answers each request with the malformed answer and closes the
// connection. headers are further lines of the head.
func (a MalformedAnswer) Start(t testing.TB, headers string) *Server {
	t.Helper()
	return Start(t, func(c net.Conn, _ int64) {
		_, _ = io.WriteString(c, a.Render(headers))
		_ = c.Close()
	})
}

// Handler answers each request with the malformed answer. header returns further lines of the
// head.
func (a MalformedAnswer) Handler(header func(*http.Request) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, a.Render(header(r)))
		_ = c.Close()
	}
}
