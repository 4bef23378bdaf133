package enginehttp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/engine"
)

// Guards against a request that counts as not run, and runs at a second engine, because a
// copy of an earlier refusal on the connection was taken for its own.
func TestCopyOfEarlierRefusalIsNoProof(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		reader, earlier := bufio.NewReader(c), ""
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if earlier == "" {
				earlier = req.Header.Get(headerCallID)
			}
			const body = `{"error":{"code":"refused","message":"full","executed":"no"}}`
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerCallID, earlier, len(body), body)
		}
	}()
	client := NewClient(l.Addr().String(), Options{})
	for n, want := range []engine.Executed{engine.ExecutedNo, engine.ExecutedUnknown} {
		_, err := client.Generate(t.Context(), engine.GenerateRequest{RequestID: fmt.Sprint(n), Model: "m", MaxTokens: 1})
		var failure *engine.Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.Kind, engine.Refused)
		is.Equal(failure.Executed, want)
	}
}
