package stricthttp

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
)

const (
	// longUpload is more than the buffers of both ends take.
	longUpload = 16 << 20

	unboundedHead = "HTTP/1.1 200 OK\r\n\r\n" // neither a length nor chunks
)

// post sends a request and returns the body of the answer.
func post(c *http.Client, address string, body []byte) (string, error) {
	resp, err := c.Post("http://"+address, "", bytes.NewReader(body))
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
		if _, err := post(c, e.Address, upload); err == nil {
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
				answer, err := post(c, e.Address, upload)
				is.NoErr(err)
				is.Equal(answer, "whole")
			}
		})
	}
}
