package stricthttp

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
)

const (
	// longUpload is more than the buffers of both ends take.
	longUpload = 16 << 20

	unboundedHead = "HTTP/1.1 200 OK\r\n\r\n" // neither a length nor chunks
)

// fetch sends a request and returns the body of the answer. http.Transport may send the request
// again if it is a GET.
func fetch(c *http.Client, method, url string, body []byte) (string, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	resp, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return string(answer), err
}

// Guards against the part of an answer without a length that is taken for the whole, because
// the write of the request, and not the read, got the error of the connection.
func TestResetDuringUploadIsNoEndOfAnswer(t *testing.T) {
	e := rawservertest.StartEarly(t, func(c net.Conn, _ int64) { rawservertest.AnswerAndReset(c, unboundedHead+"part") })
	c := &http.Client{Transport: NewTransport(&http.Transport{})}
	upload, whole := make([]byte, longUpload), 0
	for range 2000 { // net/http reads one in ten to twenty answers to its end
		if _, err := fetch(c, "POST", "http://"+e.Address, upload); err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d answers were taken for whole ones", whole)
	}
}

// Guards against the loss of a whole answer that a server gives before it has read the request.
func TestWholeAnswerDuringUploadIsKept(t *testing.T) {
	for name, afterAnswer := range map[string]func(c net.Conn){
		"not read": func(net.Conn) { <-t.Context().Done() },
		"read":     func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := rawservertest.StartEarly(t, func(c net.Conn, _ int64) {
				rawservertest.AnswerAndHalfClose(c, unboundedHead+"whole")
				afterAnswer(c)
			})
			c := &http.Client{Transport: NewTransport(&http.Transport{})}
			upload := make([]byte, longUpload)
			for range 100 {
				answer, err := fetch(c, "POST", "http://"+e.Address, upload)
				is.NoErr(err)
				is.Equal(answer, "whole")
			}
		})
	}
}

// Guards against a broken answer that is taken for a sound one, and against a request that
// http.Transport sends again after it, which can be a second run.
func TestMalformedAnswerIsAnError(t *testing.T) {
	for _, malformed := range append(rawservertest.MalformedAnswers("ok"), rawservertest.MalformedLines("200 OK", "ok")...) {
		t.Run(malformed.Name, func(t *testing.T) {
			is := is.New(t)
			e := rawservertest.Start(t, func(c net.Conn, n int64) {
				if n == 1 {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					return
				}
				_, _ = io.WriteString(c, malformed.Render(""))
				_ = c.Close()
			})
			c := &http.Client{Transport: NewTransport(&http.Transport{})}
			_, err := fetch(c, "GET", "http://"+e.Address, nil)
			is.NoErr(err)
			_, err = fetch(c, "GET", "http://"+e.Address, nil)
			is.True(err != nil)
			is.Equal(e.Requests.Load(), int64(2))
			is.Equal(e.Connections.Load(), int64(1))
		})
	}
}

// Guards against checks that fail where answers come over TLS, whose bytes they can't read.
func TestAnswerOverTLSIsRead(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	c := &http.Client{Transport: NewTransport(server.Client().Transport.(*http.Transport).Clone())}
	for range 2 {
		answer, err := fetch(c, "GET", server.URL, nil)
		is.NoErr(err)
		is.Equal(answer, "ok")
	}
}
