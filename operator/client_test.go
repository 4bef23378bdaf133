package operator

import (
	"bytes"
	"net"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
	"github.com/hyssophaven/hyssophaven/internal/stricthttp"
)

// Guards against a client that reads a head of any size, or takes the beginning of an
// endless body for an answer.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	const readAhead = 64 << 10 // what the buffers of a connection hold beyond a limit
	for name, test := range map[string]struct {
		start string
		limit int64
	}{
		"head": {"HTTP/1.1 200 OK\r\nX-A: ", jsonhttp.MaxHeadBytes},
		"body": {"HTTP/1.1 200 OK\r\n\r\n{}", maxResponseBytes},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			filling := bytes.Repeat([]byte(" "), 64<<10)
			server := rawservertest.Start(t, func(c net.Conn, _ int64) {
				_ = rawservertest.WriteEndlessly(c, test.start, filling)
				_ = c.Close()
			})
			var taken atomic.Int64
			client := NewClient("http://"+server.Address, "token", nil)
			transport := stricthttp.NewTransport(client.http.Transport.(*stricthttp.Transport).Clone())
			transport.SetDial(rawservertest.CountingDial(&taken))
			client.http.Transport = transport
			_, err := client.Status(t.Context())
			is.True(err != nil)
			is.True(taken.Load() <= test.limit+readAhead)
		})
	}
}

// Guards against a broken answer that the client takes for a sound one.
func TestMalformedAnswerIsAnError(t *testing.T) {
	const body = `{"Revision":7}`
	for _, malformed := range slices.Concat(rawservertest.MalformedAnswers(body), rawservertest.MalformedLines("200 OK", body), rawservertest.CutAnswers("200 OK", body)) {
		t.Run(malformed.Name, func(t *testing.T) {
			server := malformed.Start(t, "")
			_, err := NewClient("http://"+server.Address, "token", nil).Status(t.Context())
			is.New(t).True(err != nil)
		})
	}
}
