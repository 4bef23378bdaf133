package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/answerhead"
	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
)

// Guards against an answer that is taken for a whole one although its head or trailer has a
// malformed line, and against the reuse of its connection.
func TestAnswerWithMalformedLineIsBroken(t *testing.T) {
	for _, malformed := range rawservertest.MalformedLines("200 OK", "ok") {
		t.Run(malformed.Name, func(t *testing.T) {
			is := is.New(t)
			e := rawservertest.Start(t, func(c net.Conn, _ int64) { _, _ = io.WriteString(c, malformed.Render("Keep-Alive: timeout=60\r\n")) })
			p, dedicated := newPool(), NewDedicated((&net.Dialer{}).DialContext)
			_, err := get(p, e.Address)
			is.True(errors.Is(err, ErrConnectionBroken))
			is.True(!errors.Is(err, ErrNotSent))
			is.Equal(p.IdleConnections(), int64(0))
			a, err := dedicated.Do(t.Context(), e.Address, &Call{Method: "GET", Target: "/", Host: "h"}, time.Second)
			if err == nil { // the line is in the trailer
				a.SetReadTimeout(time.Second)
				_, err = io.ReadAll(a)
				a.Close(false)
			}
			is.True(errors.Is(err, ErrConnectionBroken))
		})
	}
}

// Guards against a malformed line that is not found where the head does not begin with a read
// of the connection or end with the read buffer.
func TestMalformedLineIsFoundAnywhere(t *testing.T) {
	const malformed = "X A: b\r\nContent-Length: 2\r\n\r\nok"
	for name, answer := range map[string]func(id string) string{
		"after the read buffer": func(id string) string {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nX-Fill: " + strings.Repeat("a", 2*readBufferBytes) + "\r\n" + malformed
		},
		"interim answer": func(id string) string { return "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + answerTo(id, 200, "ok") },
		"after interim answer": func(id string) string {
			return "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: " + id + "\r\n" + malformed
		},
		"after extra answer": func(id string) string {
			return answerTo("first", 200, "extra") + "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + malformed
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startEchoing(t, func(c net.Conn, n int, id string) {
				if n == 0 {
					_, _ = io.WriteString(c, answerTo(id, 200, "ok"))
				} else {
					_, _ = io.WriteString(c, answer(id))
				}
			})
			p := newEchoPool()
			_, err := send(p, e, "first")
			is.NoErr(err)
			_, err = p.Do(t.Context(), e, &Request{ID: "second", Call: Call{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"second"}}}}, hangTimeout)
			is.True(errors.Is(err, ErrConnectionBroken))
			is.True(errors.Is(err, answerhead.ErrMalformedLine))
			is.Equal(p.IdleConnections(), int64(0))
			is.Equal(p.ConnectionsOpened(), int64(1))
		})
	}
}
