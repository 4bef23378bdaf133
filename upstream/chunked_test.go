package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against a chunked answer that ends, or counts as going on, because its endpoint
// falls silent at any point of the framing.
func TestSilenceWithinChunksIsNoEnd(t *testing.T) {
	const body = "2;x=y\r\nok\r\n10 \r\n0123456789abcdef\r\n0\r\nX-T: 1\r\n\r\n"
	for cut := range len(body) {
		t.Run(body[:cut], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			resume := make(chan struct{})
			e := startEndpoint(t, func(c net.Conn, _ int64) {
				_, _ = io.WriteString(c, chunkedHead+body[:cut])
				<-resume
				_, _ = io.WriteString(c, body[cut:])
			})
			p := newPool()
			a, err := p.Do(context.Background(), e.address, &Call{Method: "GET", Target: "/x", Host: "h"}, time.Second)
			is.NoErr(err)
			a.SetReadTimeout(200 * time.Millisecond)
			before, err := io.ReadAll(a)
			is.True(errors.Is(err, ErrAnswerTimeout))
			is.True(a.IsSilent())
			is.True(errors.Is(<-a.Await(time.Millisecond), os.ErrDeadlineExceeded))
			close(resume)
			a.SetReadTimeout(time.Second)
			after, err := io.ReadAll(a)
			is.NoErr(err)
			is.Equal(string(before)+string(after), "ok0123456789abcdef")
			a.Close(true)
			is.Equal(p.IdleConnections(), int64(1))
		})
	}
}

// Guards against a large answer in chunks that is held back after its last chunk: its
// reader reads again after the end, and waited there for more bytes until a timeout.
func TestReadAfterLastChunkDoesNotWait(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(c net.Conn, _ int64) {
		_, _ = io.WriteString(c, chunkedHead+"2\r\nok\r\n0\r\n\r\n")
	})
	p := newPool()
	a, err := p.Do(context.Background(), e.address, &Call{Method: "GET", Target: "/x", Host: "h"}, time.Second)
	is.NoErr(err)
	a.SetReadTimeout(time.Second)
	_, err = io.ReadAll(a)
	is.NoErr(err)
	n, err := a.Read(make([]byte, 1))
	is.Equal(n, 0)
	is.Equal(err, io.EOF)
	a.Close(true)
	is.Equal(p.IdleConnections(), int64(1))
}

// Guards against a chunk, or the end of a body, that is passed on only when more bytes
// arrive after it.
func TestChunksAreReadWhenTheyArrive(t *testing.T) {
	is := is.New(t)
	next := make(chan string)
	e := startEndpoint(t, func(c net.Conn, _ int64) {
		_, _ = io.WriteString(c, chunkedHead)
		for part := range next {
			time.Sleep(20 * time.Millisecond) // until the reader waits
			_, _ = io.WriteString(c, part)
		}
	})
	defer close(next)
	a, err := newPool().Do(context.Background(), e.address, &Call{Method: "GET", Target: "/x", Host: "h"}, time.Second)
	is.NoErr(err)
	defer a.Close(false)
	b := make([]byte, 100)
	for _, part := range []string{"2\r\nok\r\n", "3\r\nyes\r\n", "0\r\n\r\n"} {
		go func() { next <- part }()
		a.SetReadTimeout(5 * time.Second)
		begun := time.Now()
		n, err := a.Read(b)
		is.True(time.Since(begun) < 2*time.Second)
		if part[0] == '0' {
			is.Equal(err, io.EOF)
			continue
		}
		is.NoErr(err)
		is.Equal(string(b[:n]), part[3:len(part)-2])
	}
}

// Guards against a body in malformed or incomplete chunks that is taken for a whole one.
func TestMalformedChunksAreRejected(t *testing.T) {
	for _, body := range []string{
		"", "2", "2\r\n", "2\r\no", "2\r\nok", "2\r\nok\r\n", "2\r\nok\r\n0\r\n", "2\r\nok\r\n0\r\nX-T: 1\r\n", "2\nok\r\n0\r\n\r\n", "2\r\nok\n0\r\n\r\n",
		"2\r\nok\r\n0\n\r\n", "2\r\nokay\r\n0\r\n\r\n", "2\r\nok0\r\n\r\n", "\r\n", ";\r\n0\r\n\r\n", "g\r\n", "-2\r\nok\r\n0\r\n\r\n", "0x2\r\nok\r\n0\r\n\r\n", "2 2\r\nok\r\n0\r\n\r\n",
		"8000000000000000\r\nok\r\n0\r\n\r\n", "10000000000000002\r\nok\r\n0\r\n\r\n",
		"0\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n", "0\r\n: 1\r\n\r\n", "0\r\n X-T: 1\r\n\r\n", "0\r\nX-T : 1\r\n\r\n",
	} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			e := startEndpoint(t, func(c net.Conn, _ int64) {
				_, _ = io.WriteString(c, chunkedHead+body)
				_ = c.Close()
			})
			_, err := get(newPool(), e.address)
			is.True(errors.Is(err, ErrConnectionBroken))
		})
	}
}
