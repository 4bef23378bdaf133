package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
)

// Guards against an answer that is lost because its endpoint pauses within the head.
func TestHeadIsReadAgainAfterPause(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	for name, cut := range map[string]int{"protocol": 3, "interim head": len(interim) - 3, "after it": len(interim), "status": len(interim) + 10, "field": len(interim) + 20, "blank line": len(interim+okAnswer) - 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resume := make(chan struct{})
			e := startEndpoint(t, func(c net.Conn, _ int64) {
				_, _ = io.WriteString(c, (interim + okAnswer)[:cut])
				<-resume
				_, _ = io.WriteString(c, (interim + okAnswer)[cut:])
			})
			p := newPool()
			a, err := p.Pool.Send(context.Background(), Endpoint{Address: e.address}, &Request{ID: "0", Call: Call{Method: "GET", Target: "/", Host: "h"}})
			is.NoErr(err)
			for range 2 {
				err = a.ReadHead(context.Background(), 50*time.Millisecond)
				is.True(errors.Is(err, ErrAnswerTimeout))
				is.True(a.IsSilent())
			}
			close(resume)
			is.NoErr(a.ReadHead(context.Background(), hangTimeout))
			body, err := io.ReadAll(a)
			is.NoErr(err)
			is.Equal(string(body), "ok")
			a.Close(true)
			is.Equal(p.IdleConnections(), int64(1))
		})
	}
}

// Guards against an endpoint that sends bytes that are no head, keeps the connection open,
// and is waited for as if it were silent.
func TestMalformedHeadEndsAtOnce(t *testing.T) {
	for _, head := range []string{"garbage\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/x 200 OK\r\n", "HTTP/1.1 200 OK\r\nno field\r\n"} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			e := rawservertest.Start(t, func(c net.Conn, _ int64) {
				_, _ = io.WriteString(c, head)
				_, _ = io.Copy(io.Discard, c)
			})
			p := newPool()
			a, err := p.Pool.Send(context.Background(), Endpoint{Address: e.Address}, &Request{ID: "0", Call: Call{Method: "GET", Target: "/", Host: "h"}})
			is.NoErr(err)
			defer a.Close(false)
			is.True(errors.Is(a.ReadHead(context.Background(), hangTimeout), ErrConnectionBroken))
		})
	}
}
