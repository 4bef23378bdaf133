package backinghttp

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
	"github.com/hyssophaven/hyssophaven/internal/stricthttp"
)

// Guards against an instance that runs out of memory because the platform sends a head
// or a body without end, and against the beginning of such a body that is taken for an
// answer.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	const readAhead = 64 << 10 // what the buffers of a connection hold beyond a limit
	for name, test := range map[string]struct {
		start string
		limit int64
	}{
		"head": {"HTTP/1.1 200 OK\r\nX-A: ", jsonhttp.MaxHeadBytes},
		"body": {"HTTP/1.1 200 OK\r\n\r\n{}", maxBodyBytes},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			filling := bytes.Repeat([]byte(" "), 64<<10)
			server := rawservertest.Start(t, func(c net.Conn, _ int64) {
				_ = rawservertest.WriteEndlessly(c, test.start, filling)
				_ = c.Close()
			})
			var taken atomic.Int64
			c := NewClient(server.Address, Options{Timeout: 20 * time.Second})
			c.http.Transport.(*stricthttp.Transport).SetDial(rawservertest.CountingDial(&taken))
			_, err := c.Tables().Read(t.Context(), backing.Query{Prefix: "k"})
			is.True(errors.Is(err, backing.ErrUnavailable))
			is.True(taken.Load() <= test.limit+readAhead)
			_, err = c.Tables().Commit(t.Context(), backing.Txn{Writes: []backing.Write{{Key: "k", Value: []byte("v")}}})
			is.True(errors.Is(err, backing.ErrUnknownOutcome))
		})
	}
}
