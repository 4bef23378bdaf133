package enginehttp

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
	"github.com/hyssophaven/hyssophaven/internal/stricthttp"
)

// Guards against an instance that runs out of memory because an engine sends a head,
// a body or an event without end.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	const (
		ok        = "HTTP/1.1 200 OK\r\n"
		readAhead = 64 << 10 // what the buffers of a connection hold beyond a limit
	)
	state := func(ctx context.Context, c *Client) error {
		_, err := c.State(ctx)
		return err
	}
	generate := func(ctx context.Context, c *Client) error {
		_, err := readAll(c.Generate(ctx, testRequest))
		return err
	}
	for name, test := range map[string]struct {
		call  func(context.Context, *Client) error
		start string
		limit int64
	}{
		"head":             {state, ok + "X-A: ", 64 << 10},
		"head of a stream": {generate, ok + "X-A: ", 64 << 10},
		"body":             {state, ok + "\r\n{}", maxAnswerBytes},
		"error":            {generate, "HTTP/1.1 500 Error\r\n\r\n", maxAnswerBytes},
		"event":            {generate, ok + "\r\ndata: ", maxEventBytes},
		"event name":       {generate, ok + "\r\nevent: ", maxEventBytes},
		"comment":          {generate, ok + "\r\n: ", maxEventBytes},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			filling := bytes.Repeat([]byte(" "), 64<<10)
			server := rawservertest.Start(t, func(c net.Conn, _ int64) {
				_ = rawservertest.WriteEndlessly(c, test.start, filling)
				_ = c.Close()
			})
			var taken atomic.Int64
			httpClient := NewHTTPClient(0)
			httpClient.Transport.(*stricthttp.Transport).SetDial(rawservertest.CountingDial(&taken))
			c := NewClient(server.Address, Options{HTTP: httpClient, ReadTimeout: 20 * time.Second})
			err := test.call(t.Context(), c)
			var e *engine.Error
			is.True(errors.As(err, &e))
			is.True(e.Executed != engine.ExecutedNo)
			is.True(taken.Load() <= test.limit+readAhead)
		})
	}
}

// Guards against a stream of comments and blank lines that outlives its context.
func TestStreamOfCommentsEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	server := rawservertest.Start(t, func(c net.Conn, _ int64) {
		_ = rawservertest.WriteEndlessly(c, "HTTP/1.1 200 OK\r\n\r\n", []byte(":\n\n"))
		_ = c.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := readAll(NewClient(server.Address, Options{}).Generate(ctx, testRequest))
	kind, _ := engine.ErrorKindOf(err)
	is.Equal(kind, engine.Cancelled)
}
